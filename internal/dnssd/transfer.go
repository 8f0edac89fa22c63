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
	// transferTimeout bounds the duration of a complete transfer.
	transferTimeout = 5 * time.Second
	// transferRetryDelay is the pause after a failed transfer before the next one.
	transferRetryDelay = 30 * time.Second
	// maxTransferRecords bounds the records of a transfer; an incremental one also contains the removed records.
	maxTransferRecords = 2 * maxRecords
)

var (
	// errTransfer reports a transfer that can't be read.
	errTransfer = errors.New("malformed transfer")
	// errTransferSize reports a transfer of more than maxTransferRecords.
	errTransferSize = fmt.Errorf("transfer of over %d records", maxTransferRecords)
)

// transferredZone is the result of a transfer: the records of a DNS zone and their serial.
type transferredZone struct {
	records *records
	serial  uint32
}

// transfer fetches the changes of a zone since base (IXFR, RFC 1995), or the complete zone if base is nil (AXFR, RFC 5936). A transfer
// that is cut off at any message returns an error and changes nothing.
func (c *Client) transfer(ctx context.Context, server string, k *Key, apex string, base *transferredZone) (transferredZone, error) {
	if err := c.acquire(ctx); err != nil {
		return transferredZone{}, err
	}
	defer c.release()
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(transferTimeout))
	defer cancel()
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", server)
	if err != nil {
		return transferredZone{}, err
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
		return transferredZone{}, fmt.Errorf("%s: %w", server, err)
	}
	all, err := collectEnvelopes(envelopes, closeConn)
	if err != nil {
		return transferredZone{}, fmt.Errorf("%s: %w", server, err)
	}
	return assembleZone(apex, base, all)
}

// transferQuestion returns the query for the changes since base, or for the complete zone if base is nil.
func transferQuestion(apex string, base *transferredZone) *dns.Msg {
	if base != nil {
		return new(dns.Msg).SetIxfr(apex, base.serial, ".", ".")
	}
	return new(dns.Msg).SetAxfr(apex)
}

// collectEnvelopes returns the records of all messages. On an error it closes the connection but still drains the channel, since the
// sender would otherwise block forever.
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

// assembleZone turns the records of a transfer into a zone.
func assembleZone(apex string, base *transferredZone, all []dns.RR) (transferredZone, error) {
	if len(all) == 0 {
		return transferredZone{}, fmt.Errorf("%w: empty", errTransfer)
	}
	first, ok := all[0].(*dns.SOA)
	if !ok {
		return transferredZone{}, fmt.Errorf("%w: does not begin with SOA", errTransfer)
	}
	if base != nil && len(all) == 1 {
		return transferredZone{base.records, first.Serial}, nil // RFC 1995, section 4: no changes, or the changes are not available
	}
	last, ok := all[len(all)-1].(*dns.SOA)
	if !ok || last.Serial != first.Serial || len(all) == 1 {
		return transferredZone{}, fmt.Errorf("%w: does not end with its SOA", errTransfer)
	}
	body := all[1 : len(all)-1]
	if base != nil && len(body) > 0 {
		if from, ok := body[0].(*dns.SOA); ok {
			if from.Serial != base.serial {
				return transferredZone{}, fmt.Errorf("%w: changes are from serial %d, not %d", errTransfer, from.Serial, base.serial)
			}
			return applyChanges(base.records.clone(), first.Serial, body)
		}
	}
	return completeZone(apex, first.Serial, body)
}

// completeZone returns a zone with the records of a complete transfer.
func completeZone(apex string, serial uint32, body []dns.RR) (transferredZone, error) {
	next := newRecords(apex)
	for _, rr := range body {
		if _, isSOA := rr.(*dns.SOA); isSOA {
			return transferredZone{}, fmt.Errorf("%w: SOA record inside a complete zone", errTransfer)
		}
		if next.usable(rr) && !next.add(rr) {
			return transferredZone{}, fmt.Errorf("%w: over %d records", errTransfer, maxRecords)
		}
	}
	return transferredZone{next, serial}, nil
}

// applyChanges applies the difference sequences of an IXFR to r: an SOA and the removed records, an SOA and the added records, and so
// on. The last sequence must lead to finalSerial.
func applyChanges(r *records, finalSerial uint32, body []dns.RR) (transferredZone, error) {
	adding, serial := true, uint32(0)
	for _, rr := range body {
		soa, isSOA := rr.(*dns.SOA)
		switch {
		case isSOA && adding && serial != 0 && soa.Serial != serial:
			return transferredZone{}, fmt.Errorf("%w: changes from serial %d follow those to %d", errTransfer, soa.Serial, serial)
		case isSOA:
			adding, serial = !adding, soa.Serial
		case adding:
			r.add(rr)
		default:
			r.remove(rr)
		}
	}
	if !adding || serial != finalSerial {
		return transferredZone{}, fmt.Errorf("%w: changes end at serial %d, not %d", errTransfer, serial, finalSerial)
	}
	return transferredZone{r, finalSerial}, nil
}
