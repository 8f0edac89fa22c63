package agent

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"gullfall/internal/lease"
	"gullfall/internal/maintenance"
	"gullfall/internal/statemachine"
)

// renewal is a presence, and when it was last seen to change by this coordinator's clock.
type renewal struct {
	presence lease.Record
	at       time.Time
}

// coordinators returns all coordinators that ever participated and were not forgotten, sorted by name.
func (a *Agent) coordinators() []maintenance.Coordinator {
	list, presences := a.storedRecords()
	a.mu.Lock()
	defer a.mu.Unlock()
	for i := range list {
		name := list[i].Name
		presence := presences[name]
		if last, ok := a.renewals[name]; !ok || last.presence != presence {
			a.renewals[name] = renewal{presence, time.Now()}
		}
		// This estimate only tells when a write is worth trying; the store decides by the leader's clock.
		list[i].Absent = presence.Holder == "" || time.Since(a.renewals[name].at) > presence.Length+presence.Length/20
	}
	maps.DeleteFunc(a.renewals, func(name string, _ renewal) bool {
		return !slices.ContainsFunc(list, func(c maintenance.Coordinator) bool { return c.Name == name })
	})
	return list
}

// storedRecords returns the records of all coordinators, sorted by name, and their presences.
func (a *Agent) storedRecords() (list []maintenance.Coordinator, presences map[string]lease.Record) {
	presences = map[string]lease.Record{}
	a.opts.Store.View(func(st *statemachine.State) {
		for key, e := range st.Values() {
			name, ok := strings.CutPrefix(key, recordKeyPrefix)
			var r record
			if ok && json.Unmarshal(e.Value, &r) == nil {
				list = append(list, maintenance.Coordinator{Name: name, Seen: r.Seen, Clear: r.Clear})
			}
		}
		for _, p := range st.Presences() {
			presences[p.Duty] = p
		}
	})
	slices.SortFunc(list, func(a, b maintenance.Coordinator) int { return strings.Compare(a.Name, b.Name) })
	return list, presences
}
