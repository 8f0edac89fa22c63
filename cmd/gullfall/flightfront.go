package main

import (
	"context"
	"fmt"
	"net"
	"net/netip"

	"gullfall/internal/dnssd"
	"gullfall/internal/flight"
)

// flightService is the DNS-SD service type of this coordinator's Arrow Flight front.
const flightService = "_gullfall._tcp"

// serveFlight starts the Arrow Flight front and its DNS-SD records if flight.listen is set.
func (d *daemon) serveFlight(ctx context.Context) error {
	front := d.deploy.Flight
	if front.Listen == "" {
		return nil
	}
	listener, err := net.Listen("tcp", front.Listen)
	if err != nil {
		return fmt.Errorf("flight.listen: %w", err)
	}
	options := flight.Options{Coordinator: d.coordinator, Log: d.log, MaxAnswerBytes: int64(d.cfg.Limits.MemoryMB) << 20 / flightMemoryDiv,
		Admission: front.Admission(), AccessPolicy: front.AccessPolicy(), Keys: front.Keys(), Shards: d.cfg.Settings.Shards,
		CoveredShards: d.coordinator.CoveredShards}
	for _, class := range d.cfg.Settings.Classes {
		options.Classes = append(options.Classes, flight.Class{Name: class.Name, MaxDuration: class.Deadline, Schema: front.Schema(class.Name)})
	}
	server, err := flight.New(options)
	if err != nil {
		return err
	}
	d.fronts.flight = server
	go func() {
		d.failed <- server.Serve(listener, min(front.Connections, d.cfg.Limits.Sockets/flightSocketsDiv))
	}()
	d.log.Info("serving Arrow Flight", "listen", front.Listen)
	return d.advertiseFlight(ctx)
}

// advertiseFlight serves DNS-SD records of the Flight front if dnssd.serve is set.
func (d *daemon) advertiseFlight(ctx context.Context) error {
	records := d.deploy.DNSSD
	if records.Serve == "" {
		return nil
	}
	conn, err := net.ListenPacket("udp", records.Serve)
	if err != nil {
		return fmt.Errorf("dnssd.serve: %w", err)
	}
	service := &dnssd.Service{Instance: d.cfg.Name, Type: flightService, Domain: records.Domain,
		Addr: netip.MustParseAddrPort(d.deploy.Flight.Listen), Text: []string{"txtvers=1", "proto=flight"}}
	d.fronts.advertised = service
	go func() {
		if err := service.Serve(ctx, conn); err != nil {
			d.log.Error("records are no longer served", "cause", err)
		}
	}()
	return nil
}
