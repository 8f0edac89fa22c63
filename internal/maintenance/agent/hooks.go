package agent

// This file owns the hook's processes: an argument vector, called with what became of which machine. It must never pass
// through a shell, run longer than its time, or run twice at once for one machine.

import (
	"context"
	"os/exec"
	"time"

	"gullfall/internal/maintenance"
)

// hookAgain is the pause before a hook that failed is called again.
const hookAgain = 10 * time.Second

// hooks calls the hook for machines that were handed over, and for those that are warm. It is called at least once for each; a
// new holder of the duty calls it again.
func (s *Agent) hooks(ctx context.Context, plan *maintenance.State) {
	if len(s.Hook) == 0 {
		return
	}
	for _, r := range plan.Requests {
		for _, st := range r.Steps {
			switch st.State {
			case maintenance.Out:
				s.hook(ctx, "out", st.Machine, st.Addr, st.Turn, s.handed)
			case maintenance.Warm:
				s.hook(ctx, "done", st.Machine, st.Addr, st.Turn, s.told)
			}
		}
	}
}

func (s *Agent) hook(ctx context.Context, what, machine, addr string, turn uint64, told map[string]uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if told[machine] == turn || s.calls[machine] || len(s.calls) >= mostHooks || time.Now().Before(s.retryAt[machine]) {
		return
	}
	s.calls[machine] = true
	s.wg.Go(func() {
		one, cancel := context.WithDeadline(ctx, time.Now().Add(s.HookFor))
		defer cancel()
		out, err := exec.CommandContext(one, s.Hook[0], append(append([]string{}, s.Hook[1:]...), what, machine, addr)...).CombinedOutput()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.calls, machine)
		if err != nil {
			s.retryAt[machine] = time.Now().Add(hookAgain)
			s.Log.Warn("hook failed; it is called again", "what", what, "machine", machine, "cause", err, "said", string(out[:min(len(out), 200)]))
			return
		}
		delete(s.retryAt, machine)
		told[machine] = turn
		s.Log.Info("hook called", "what", what, "machine", machine)
	})
}
