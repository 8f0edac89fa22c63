package main

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"
	"sync"

	"gullfall/internal/coordinator"
	"gullfall/internal/statemachine"
	"gullfall/internal/store"
	"gullfall/internal/zones"
)

// drainedKey is the store key of the list of zones that operators have drained.
const drainedKey = "zones/drained"

// maxDrained is the maximum number of zones drained by operators.
const maxDrained = 64

// zoneDrains merges the zones that operators have drained: those in zones.drained of deploy/gullfall.toml, which apply to this
// coordinator only, and those in the store, which apply to all coordinators that share it.
type zoneDrains struct {
	coordinator *coordinator.Coordinator
	store       *store.Store
	log         *slog.Logger

	mu   sync.Mutex // guards file and serializes calls of DrainZones
	file []string   // zones.drained as last read
}

// watch applies changes of the list in the store until ctx ends.
func (z *zoneDrains) watch(ctx context.Context) {
	last := ""
	for {
		changed := z.store.Changed()
		if now := string(z.store.Get(drainedKey)); now != last {
			if last = now; z.apply() != nil {
				return // zones.enabled is false; commands that drain a zone report this
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// reload sets the list of deploy/gullfall.toml and applies it.
func (z *zoneDrains) reload(file []string) error {
	z.mu.Lock()
	z.file = file
	z.mu.Unlock()
	return z.apply()
}

// apply passes the merged list to the coordinator.
func (z *zoneDrains) apply() error {
	z.mu.Lock()
	defer z.mu.Unlock()
	names := append([]string{}, z.file...)
	stored, err := storedZones(z.store.Get(drainedKey))
	if err != nil {
		z.log.Error("zones drained in the store not understood; those of the file hold", "cause", err)
	}
	for _, n := range stored {
		if !slices.Contains(names, n) {
			names = append(names, n)
		}
	}
	return z.coordinator.DrainZones(names)
}

// storedZones decodes the list of zones as stored.
func storedZones(raw []byte) (names []string, err error) {
	if len(raw) > 0 {
		err = json.Unmarshal(raw, &names)
	}
	return names, err
}

// drain drains a zone at all coordinators that share the store.
func (z *zoneDrains) drain(ctx context.Context, zone string) error {
	known := slices.ContainsFunc(z.coordinator.Zones(), func(s zones.Status) bool { return s.Zone == zone })
	if !known {
		return fmt.Errorf("no zone %q is known; see `gullfall zones`", zone)
	}
	return z.change(ctx, func(names []string) ([]string, error) {
		switch {
		case slices.Contains(names, zone):
			return nil, fmt.Errorf("%q is drained by an operator's word already", zone)
		case len(names) >= maxDrained:
			return nil, fmt.Errorf("%d zones are drained by hand, the most there may be", len(names))
		}
		return append(names, zone), nil
	})
}

// undrain reverts drain.
func (z *zoneDrains) undrain(ctx context.Context, zone string) error {
	return z.change(ctx, func(names []string) ([]string, error) {
		at := slices.Index(names, zone)
		if at < 0 {
			return nil, fmt.Errorf("%q is not drained by a word in the store; one in zones.drained of the file is to be taken out there", zone)
		}
		return slices.Delete(names, at, at+1), nil
	})
}

// change replaces the list in the store by the result of edit. The write is conditional on the revision that was read and is retried
// with the new list after a conflict, so that two operators at two coordinators do not undo each other's changes.
func (z *zoneDrains) change(ctx context.Context, edit func(names []string) ([]string, error)) error {
	for {
		if err := z.store.Sync(ctx); err != nil {
			return fmt.Errorf("the store was not heard in time; to drain it at this coordinator alone set zones.drained in deploy/gullfall.toml and send SIGHUP: %w", err)
		}
		var entry statemachine.Entry
		z.store.View(func(state *statemachine.State) { entry, _ = state.Get(drainedKey) })
		names, err := storedZones(entry.Value)
		if err != nil {
			return fmt.Errorf("%s in the store: %w", drainedKey, err)
		}
		if names, err = edit(names); err != nil {
			return err
		}
		data, err := json.Marshal(names)
		if err != nil {
			return err
		}
		result, err := z.store.Do(ctx, statemachine.Command{
			If:  []statemachine.Condition{{Key: drainedKey, Revision: entry.Revision}},
			Put: []statemachine.Pair{{Key: drainedKey, Value: data}},
		})
		switch {
		case err != nil:
			return fmt.Errorf("the store did not answer in time, so it may or may not have been taken: %w", err)
		case result.Failed == "":
			return z.store.Wait(ctx, result.Index)
		case result.Failed != statemachine.Conflict:
			return result.Err()
		}
	}
}
