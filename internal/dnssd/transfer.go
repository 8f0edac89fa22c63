package dnssd

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/miekg/dns"
)

const (
	// transferTimeout is how long a complete transfer may take.
	transferTimeout = 5 * time.Second
	// transferRetryDelay is how long a server is asked for no transfer after one has failed.
	transferRetryDelay = 30 * time.Second
	// maxTransferRecords bounds the records of a transfer; one of changes names those that go, too.
	maxTransferRecords = 2 * maxRecords
)

var (
	// errTransfer reports a transfer that can't be read.
	errTransfer = errors.New("transfer not understood")
	// errTransferSize reports a transfer of more than maxTransferRecords.
	errTransferSize = fmt.Errorf("transfer of over %d records", maxTransferRecords)
)

// transferBase is a zone as a transfer has brought it: its records, and the serial that they are of.
type transferBase struct {
	records *records
	serial  uint32
}

// transfer fetches the zone: what has changed since base (IXFR, RFC 1995), or all of it (AXFR, RFC 5936) where base is nil. A
// transfer that is cut, at whichever message, is an error and changes nothing.
func (c *Client) transfer(ctx context.Context, server string, k *Key, apex string, base *transferBase) (transferBase, error) {
	if err := c.acquire(ctx); err != nil {
		return transferBase{}, err
	}
	defer c.release()
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(transferTimeout))
	defer cancel()
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", server)
	if err != nil {
		return transferBase{}, err
	}
	closeConn := func() { _ = nc.Close() }
	defer closeConn()
	defer context.AfterFunc(ctx, closeConn)()
	t := &dns.Transfer{Conn: &dns.Conn{Conn: nc}, ReadTimeout: transferTimeout, WriteTimeout: transferTimeout}
	q := transferQuestion(apex, base)
	if k != nil {
		t.TsigSecret = map[string]string{k.Name: k.Secret}
		q.SetTsig(k.Name, k.Algorithm, tsigFudge, time.Now().Unix())
	}
	envelopes, err := t.In(q, server)
	if err != nil {
		return transferBase{}, fmt.Errorf("%s: %w", server, err)
	}
	all, err := collectEnvelopes(envelopes, closeConn)
	if err != nil {
		return transferBase{}, fmt.Errorf("%s: %w", server, err)
	}
	return assemble(apex, base, all)
}

// transferQuestion asks for the changes since base, or for the complete zone.
func transferQuestion(apex string, base *transferBase) *dns.Msg {
	if base != nil {
		return new(dns.Msg).SetIxfr(apex, base.serial, ".", ".")
	}
	return new(dns.Msg).SetAxfr(apex)
}

// collectEnvelopes returns the records of all messages. It closes the connection on an error, and reads the channel to its end
// all the same: its sender would wait forever.
func collectEnvelopes(envelopes <-chan *dns.Envelope, closeConn func()) (all []dns.RR, err error) {
	for e := range envelopes {
		if err == nil && e.Error != nil {
			err = fmt.Errorf("transfer: %w", e.Error)
			closeConn()
		}
		if len(all)+len(e.RR) > maxTransferRecords {
			err = errTransferSize
			closeConn()
		} else {
			all = append(all, e.RR...)
		}
	}
	return all, err
}

// assemble turns the records of a transfer into those of the zone.
func assemble(apex string, base *transferBase, all []dns.RR) (transferBase, error) {
	if len(all) == 0 {
		return transferBase{}, fmt.Errorf("%w: empty", errTransfer)
	}
	first, ok := all[0].(*dns.SOA)
	if !ok {
		return transferBase{}, fmt.Errorf("%w: does not begin with SOA", errTransfer)
	}
	if base != nil && len(all) == 1 {
		return transferBase{base.records, first.Serial}, nil // RFC 1995, 4: nothing newer, or ask for all of it
	}
	last, ok := all[len(all)-1].(*dns.SOA)
	if !ok || last.Serial != first.Serial || len(all) == 1 {
		return transferBase{}, fmt.Errorf("%w: does not end with its SOA", errTransfer)
	}
	body := all[1 : len(all)-1]
	if base != nil && len(body) > 0 {
		if from, ok := body[0].(*dns.SOA); ok {
			if from.Serial != base.serial {
				return transferBase{}, fmt.Errorf("%w: changes are from serial %d, not %d", errTransfer, from.Serial, base.serial)
			}
			return applyChanges(base.records.clone(), first.Serial, body)
		}
	}
	return completeZone(apex, first.Serial, body)
}

// completeZone takes in the records of a complete zone.
func completeZone(apex string, serial uint32, body []dns.RR) (transferBase, error) {
	next := newRecords(apex)
	for _, rr := range body {
		if _, isSOA := rr.(*dns.SOA); isSOA {
			return transferBase{}, fmt.Errorf("%w: SOA amid a whole zone", errTransfer)
		}
		if next.usable(rr) && !next.add(rr) {
			return transferBase{}, fmt.Errorf("%w: over %d records", errTransfer, maxRecords)
		}
	}
	return transferBase{next, serial}, nil
}

// applyChanges applies the sequences of an IXFR to r: an SOA and the records that go, an SOA and those that come, and so on.
// The last one must lead to the serial end.
func applyChanges(r *records, end uint32, body []dns.RR) (transferBase, error) {
	adding, at := true, uint32(0)
	for _, rr := range body {
		soa, isSOA := rr.(*dns.SOA)
		switch {
		case isSOA && adding && at != 0 && soa.Serial != at:
			return transferBase{}, fmt.Errorf("%w: changes from serial %d follow those to %d", errTransfer, soa.Serial, at)
		case isSOA:
			adding, at = !adding, soa.Serial
		case adding:
			r.add(rr)
		default:
			r.remove(rr)
		}
	}
	if !adding || at != end {
		return transferBase{}, fmt.Errorf("%w: changes end at serial %d, not %d", errTransfer, at, end)
	}
	return transferBase{r, end}, nil
}
