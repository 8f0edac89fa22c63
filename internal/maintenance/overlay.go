package maintenance

// Overlay is what the coordinators make of the state: to whom nothing may be sent, who is announced, who comes back cold.
type Overlay struct {
	Excluded  map[string]bool   // by id
	Addrs     map[string]bool   // by address: a machine may come up under a new id while it is out
	Announced map[string]bool   // called: to be sent to only while present
	Returned  map[string]uint64 // returning: the turn
	Turns     map[string]uint64 // barred: the turn
}

// Overlay is read off the state.
func (s *State) Overlay() Overlay {
	o := Overlay{Excluded: map[string]bool{}, Addrs: map[string]bool{}, Announced: map[string]bool{}, Returned: map[string]uint64{}, Turns: map[string]uint64{}}
	for _, r := range s.Requests {
		for _, st := range r.Steps {
			switch {
			case st.State.Excluded():
				o.Excluded[st.Machine], o.Turns[st.Machine] = true, st.Turn
				if st.Addr != "" {
					o.Addrs[st.Addr] = true
				}
			case st.State == Returning || st.State == Warm:
				o.Returned[st.Machine] = st.Turn
				if st.As != "" {
					o.Returned[st.As] = st.Turn
				}
			}
			if st.missing() {
				o.Announced[st.Machine] = true
			}
		}
	}
	return o
}
