package dnssd

// This file owns zone transfers: whole ones (AXFR, RFC 5936) and those of what has changed (IXFR, RFC 1995). It must
// never use a part of one: a transfer that is cut, at whichever message, leaves the records as they were.

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/miekg/dns"
)

// transferPatience is how long a whole transfer may take.
const transferTimeout = 5 * time.Second

// errTransfer marks a transfer that can't be read.
var errTransfer = errors.New("transfer not understood")

// transfer fetches the zone, from what is held of serial on where held is not nil. It returns the records as they are
// now, and the serial that they are of.
func (c *Client) transfer(ctx context.Context, server string, k *Key, apex string, held *records, serial uint32) (*records, uint32, error) {
	if err := c.acquire(ctx); err != nil {
		return nil, 0, err
	}
	defer c.release()
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(transferTimeout))
	defer cancel()
	q := new(dns.Msg)
	if held != nil {
		q.SetIxfr(apex, serial, ".", ".")
	} else {
		q.SetAxfr(apex)
	}
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", server)
	if err != nil {
		return nil, 0, err
	}
	defer nc.Close()
	defer context.AfterFunc(ctx, func() { nc.Close() })()
	t := &dns.Transfer{Conn: &dns.Conn{Conn: nc}, ReadTimeout: transferTimeout, WriteTimeout: transferTimeout}
	if k != nil {
		t.TsigSecret = map[string]string{k.Name: k.Secret}
		q.SetTsig(k.Name, k.Algorithm, 300, time.Now().Unix())
	}
	envelopes, err := t.In(q, server)
	if err != nil {
		return nil, 0, fmt.Errorf("%s: %w", server, err)
	}
	var all []dns.RR
	for e := range envelopes { // to its end, or its sender waits for good
		if err == nil && e.Error != nil {
			err = fmt.Errorf("%s: transfer: %w", server, e.Error)
			nc.Close()
		}
		if len(all)+len(e.RR) > 2*maxRecords {
			err = fmt.Errorf("%s: transfer of over %d records", server, 2*maxRecords)
			nc.Close()
		} else {
			all = append(all, e.RR...)
		}
	}
	if err != nil {
		return nil, 0, err
	}
	return assemble(apex, held, serial, all)
}

// assemble turns the records of a transfer into those of the zone.
func assemble(apex string, held *records, serial uint32, all []dns.RR) (*records, uint32, error) {
	if len(all) == 0 {
		return nil, 0, fmt.Errorf("%w: empty", errTransfer)
	}
	first, ok := all[0].(*dns.SOA)
	if !ok {
		return nil, 0, fmt.Errorf("%w: does not begin with SOA", errTransfer)
	}
	if held != nil && len(all) == 1 {
		return held, first.Serial, nil // RFC 1995, 4: nothing newer, or ask for all of it
	}
	last, ok := all[len(all)-1].(*dns.SOA)
	if !ok || last.Serial != first.Serial || len(all) == 1 {
		return nil, 0, fmt.Errorf("%w: does not end with its SOA", errTransfer)
	}
	body := all[1 : len(all)-1]
	if held != nil && len(body) > 0 {
		if from, ok := body[0].(*dns.SOA); ok {
			if from.Serial != serial {
				return nil, 0, fmt.Errorf("%w: changes are from serial %d, not %d", errTransfer, from.Serial, serial)
			}
			return applyChanges(held.clone(), first.Serial, body)
		}
	}
	next := newRecords(apex)
	for _, rr := range body {
		if _, again := rr.(*dns.SOA); again {
			return nil, 0, fmt.Errorf("%w: SOA amid a whole zone", errTransfer)
		}
		if next.usable(rr) && !next.add(rr) {
			return nil, 0, fmt.Errorf("%w: over %d records", errTransfer, maxRecords)
		}
	}
	return next, first.Serial, nil
}

// difference applies the sequences of an IXFR: an SOA and what goes, an SOA and what comes, and so on.
func applyChanges(r *records, end uint32, body []dns.RR) (*records, uint32, error) {
	adding, at := true, uint32(0)
	for _, rr := range body {
		soa, ok := rr.(*dns.SOA)
		switch {
		case ok && adding && at != 0 && soa.Serial != at:
			return nil, 0, fmt.Errorf("%w: changes from serial %d follow those to %d", errTransfer, soa.Serial, at)
		case ok:
			adding, at = !adding, soa.Serial
		case adding:
			r.add(rr)
		default:
			r.remove(rr)
		}
	}
	if !adding || at != end {
		return nil, 0, fmt.Errorf("%w: changes end at serial %d, not %d", errTransfer, at, end)
	}
	return r, end, nil
}
