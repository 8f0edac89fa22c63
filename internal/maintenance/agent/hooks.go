package agent

import (
	"context"
	"log/slog"
	"maps"
	"os/exec"
	"sync"
	"time"

	"gullfall/internal/maintenance"
)

const (
	hookRetryInterval  = 10 * time.Second // pause before a failed hook runs again
	maxConcurrentHooks = 8
	maxHookOutput      = 200 // bytes of a failed hook's output that are logged at most
)

// hookEvent is the event that a hook is run for. It is the first argument after those of the configured command.
type hookEvent string

const (
	hookOut  hookEvent = "out"  // the machine was handed over
	hookDone hookEvent = "done" // the machine is back and has warmed up
)

// hookRunner runs the operators' hook, an argument vector without a shell. It runs one hook at a time for each machine. The hook runs
// at least once for each event; a new holder of the duty runs it again.
type hookRunner struct {
	command []string // empty for no hook
	timeout time.Duration
	log     *slog.Logger
	wg      sync.WaitGroup

	// mu guards the fields below.
	mu        sync.Mutex
	succeeded map[hookEvent]map[string]uint64 // Step.Turn, by event and machine
	running   map[string]bool                 // by machine
	retryAt   map[string]time.Time            // by machine
}

func newHookRunner(o Options) hookRunner {
	return hookRunner{command: o.Hook, timeout: o.HookTimeout, log: o.Log, running: map[string]bool{}, retryAt: map[string]time.Time{},
		succeeded: map[hookEvent]map[string]uint64{hookOut: {}, hookDone: {}}}
}

// reset clears the record of hooks that succeeded.
func (h *hookRunner) reset() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, turns := range h.succeeded {
		clear(turns)
	}
}

// doneTurns returns Step.Turn by machine, for the machines whose hookDone has succeeded; nil without a hook.
func (h *hookRunner) doneTurns() map[string]uint64 {
	if len(h.command) == 0 {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return maps.Clone(h.succeeded[hookDone])
}

// run starts the hooks that are due according to a plan.
func (h *hookRunner) run(ctx context.Context, plan *maintenance.State) {
	if len(h.command) == 0 {
		return
	}
	for _, r := range plan.Requests {
		for _, st := range r.Steps {
			switch st.State {
			case maintenance.Out:
				h.start(ctx, hookOut, st)
			case maintenance.Warm:
				h.start(ctx, hookDone, st)
			}
		}
	}
}

// start runs the hook for an event of a machine, unless it has succeeded, is running, or waits for its retry.
func (h *hookRunner) start(ctx context.Context, event hookEvent, st *maintenance.Step) {
	machine, addr, turn := st.Machine, st.Addr, st.Turn
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.succeeded[event][machine] == turn || h.running[machine] || len(h.running) >= maxConcurrentHooks || time.Now().Before(h.retryAt[machine]) {
		return
	}
	h.running[machine] = true
	h.wg.Go(func() {
		ctx, cancel := context.WithDeadline(ctx, time.Now().Add(h.timeout))
		defer cancel()
		args := append(append([]string{}, h.command[1:]...), string(event), machine, addr)
		output, err := exec.CommandContext(ctx, h.command[0], args...).CombinedOutput()
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.running, machine)
		if err != nil {
			h.retryAt[machine] = time.Now().Add(hookRetryInterval)
			h.log.Warn("hook failed; retrying", "what", string(event), "machine", machine, "cause", err, "output", string(output[:min(len(output), maxHookOutput)]))
			return
		}
		delete(h.retryAt, machine)
		h.succeeded[event][machine] = turn
		h.log.Info("hook called", "what", string(event), "machine", machine)
	})
}
