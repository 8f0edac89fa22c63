package maintenance

// Overlay holds the machines to which coordinators must not send, and those that return, as derived from the plan.
type Overlay struct {
	Excluded  map[string]bool   // excluded machines, by id
	Addrs     map[string]bool   // addresses of excluded machines, which may start under a new id while they are out
	Announced map[string]bool   // machines announced for draining: a coordinator sends to them only while it is present
	Returned  map[string]uint64 // Step.Turn by machine, for returning and warm machines
	Turns     map[string]uint64 // Step.Turn by machine, for excluded machines
}

// Overlay derives the overlay from the plan.
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
