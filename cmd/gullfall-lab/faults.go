package main

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"gullfall/internal/lab/fleet"
	"gullfall/internal/lab/proxy"
)

// linkFaults are what may befall the connections between two coordinators.
var linkFaults = []proxy.Fault{proxy.Drop, proxy.Cut, proxy.Reset, proxy.Delay, proxy.DropUp, proxy.DropDown}

// drawLinkFault draws one of linkFaults.
func drawLinkFault(chance *rand.Rand) proxy.Fault { return linkFaults[chance.IntN(len(linkFaults))] }

// faultInjector plays faults on the coordinators of a fleet. Each method plays one fault and undoes it before it returns.
type faultInjector struct {
	fleet        *fleet.MaintenanceFleet
	coordinators int
	restart      func(ctx context.Context, i int) error // starts a coordinator that was killed or ended
}

// kill ends a coordinator by SIGKILL and starts it again after a time.
func (f faultInjector) kill(ctx context.Context, i int, d time.Duration) error {
	if err := f.fleet.Kill(i); err != nil {
		return err
	}
	time.Sleep(d)
	return f.restart(ctx, i)
}

// end ends a coordinator by SIGTERM and starts it again.
func (f faultInjector) end(ctx context.Context, i int) error {
	if err := f.fleet.End(i); err != nil {
		return err
	}
	return f.restart(ctx, i)
}

// stall stops coordinators for a time.
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

// isolate puts a fault between a coordinator and all others for a time, both ways.
func (f faultInjector) isolate(i int, fault proxy.Fault, d time.Duration) error {
	err := f.fleet.Isolate(i, fault)
	time.Sleep(d)
	return errors.Join(err, f.fleet.Isolate(i, proxy.Pass))
}

// cut puts a fault on the way from one coordinator to another for a time.
func (f faultInjector) cut(from, to int, fault proxy.Fault, d time.Duration) error {
	err := f.fleet.Cut(from, to, fault)
	time.Sleep(d)
	return errors.Join(err, f.fleet.Cut(from, to, proxy.Pass))
}

// split separates the first two coordinators from the others for a time: of three votes, two are on one side.
func (f faultInjector) split(d time.Duration) error {
	err := f.setSplit(proxy.Drop)
	time.Sleep(d)
	return errors.Join(err, f.setSplit(proxy.Pass))
}

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

// killAll ends all coordinators by SIGKILL and starts them again.
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
