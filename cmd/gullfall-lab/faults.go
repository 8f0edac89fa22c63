package main

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"gullfall/internal/lab/fleet"
	"gullfall/internal/lab/proxy"
)

// linkFaults lists the faults of the connections between two coordinators.
var linkFaults = []proxy.Fault{proxy.Drop, proxy.Cut, proxy.Reset, proxy.Delay, proxy.DropUp, proxy.DropDown}

// randomLinkFault returns a random element of linkFaults.
func randomLinkFault(rng *rand.Rand) proxy.Fault { return linkFaults[rng.IntN(len(linkFaults))] }

// faultInjector injects faults into the coordinators of a fleet. Its methods, except setSplit, inject one fault and undo it before
// they return.
type faultInjector struct {
	fleet        *fleet.MaintenanceFleet
	coordinators int
	restart      func(ctx context.Context, i int) error // restarts a coordinator after SIGKILL or SIGTERM
}

// kill sends SIGKILL to a coordinator and restarts it after d.
func (f faultInjector) kill(ctx context.Context, i int, d time.Duration) error {
	if err := f.fleet.Kill(i); err != nil {
		return err
	}
	time.Sleep(d)
	return f.restart(ctx, i)
}

// end stops a coordinator with SIGTERM and restarts it.
func (f faultInjector) end(ctx context.Context, i int) error {
	if err := f.fleet.End(i); err != nil {
		return err
	}
	return f.restart(ctx, i)
}

// stall suspends the processes of some coordinators for d.
func (f faultInjector) stall(d time.Duration, list ...int) error {
	for _, i := range list {
		if err := f.fleet.Stall(i); err != nil {
			return err
		}
	}
	time.Sleep(d)
	for _, i := range list {
		if err := f.fleet.Resume(i); err != nil {
			return err
		}
	}
	return nil
}

// isolate applies a fault between a coordinator and all others for d, in both directions.
func (f faultInjector) isolate(i int, fault proxy.Fault, d time.Duration) error {
	err := f.fleet.Isolate(i, fault)
	time.Sleep(d)
	return errors.Join(err, f.fleet.Isolate(i, proxy.Pass))
}

// cut applies a fault to the connections from one coordinator to another for d.
func (f faultInjector) cut(from, to int, fault proxy.Fault, d time.Duration) error {
	err := f.fleet.Cut(from, to, fault)
	time.Sleep(d)
	return errors.Join(err, f.fleet.Cut(from, to, proxy.Pass))
}

// split partitions the first two coordinators from the others for d. With three voters, two of them are on one side.
func (f faultInjector) split(d time.Duration) error {
	err := f.setSplit(proxy.Drop)
	time.Sleep(d)
	return errors.Join(err, f.setSplit(proxy.Pass))
}

// setSplit applies a fault to all connections between the first two coordinators and the others.
func (f faultInjector) setSplit(fault proxy.Fault) (err error) {
	for i := range f.coordinators {
		for j := range f.coordinators {
			if i != j && (i < 2) != (j < 2) {
				err = errors.Join(err, f.fleet.Cut(i, j, fault))
			}
		}
	}
	return err
}

// killAll sends SIGKILL to all coordinators and then restarts them.
func (f faultInjector) killAll(ctx context.Context) error {
	for i := range f.coordinators {
		if err := f.fleet.Kill(i); err != nil {
			return err
		}
	}
	for i := range f.coordinators {
		if err := f.fleet.Start(ctx, i); err != nil {
			return err
		}
	}
	return nil
}
