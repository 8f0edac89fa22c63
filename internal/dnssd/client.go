package dnssd

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/miekg/dns"
	"golang.org/x/time/rate"
)

const (
	// udpSize is the largest datagram that we announce to accept, in bytes (EDNS0; the value of DNS Flag Day 2020).
	udpSize = 1232
	// queryTimeout bounds the wait for an answer.
	queryTimeout = 600 * time.Millisecond
	// tsigFudge is the largest clock difference at which a signature is accepted, in seconds (RFC 8945, section 10).
	tsigFudge = 300
)

var (
	// errMismatchedAnswer reports an answer to another question.
	errMismatchedAnswer = errors.New("answer does not match the question")
	// errUnsigned reports an answer without the signature that the DNS zone's key requires.
	errUnsigned = errors.New("answer is not signed")
)

// rcodeError reports an answer with an error code.
type rcodeError struct {
	name string
	code int
}

func (e *rcodeError) Error() string { return fmt.Sprintf("%s: %s", e.name, dns.RcodeToString[e.code]) }

// Key signs messages to and from the servers of a DNS zone (RFC 8945).
type Key struct {
	Name      string // fully qualified
	Algorithm string // such as hmac-sha256.
	Secret    string // base64
}

// Client sends DNS queries. One client may serve many DNS zones; its rate limit covers all of them.
type Client struct {
	limiter *rate.Limiter
	slots   chan struct{} // holds one element for each query in flight
}

// NewClient returns a client that sends at most perSecond queries per second (and as many at once after a pause), with at most
// maxInFlight in flight.
func NewClient(perSecond float64, maxInFlight int) *Client {
	return &Client{limiter: rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond))), slots: make(chan struct{}, maxInFlight)}
}

// acquire waits for a slot and for the rate limit. The caller returns the slot with release.
func (c *Client) acquire(ctx context.Context) error {
	select {
	case c.slots <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	if err := c.limiter.Wait(ctx); err != nil {
		<-c.slots
		return err
	}
	return nil
}

func (c *Client) release() { <-c.slots }

// Query sends one query to one server: over UDP with a random port and ID, and again over TCP if the answer is truncated. It returns
// only answers that match the question and have the code NOERROR or NXDOMAIN. An answer of more than 64 KiB is truncated over TCP too.
func (c *Client) Query(ctx context.Context, server string, k *Key, name string, rrtype uint16) (*dns.Msg, error) {
	q := new(dns.Msg).SetQuestion(dns.Fqdn(name), rrtype)
	q.SetEdns0(udpSize, false)
	a, err := c.exchange(ctx, "udp", server, k, q)
	if err == nil && a.Rcode == dns.RcodeFormatError {
		q = new(dns.Msg).SetQuestion(dns.Fqdn(name), rrtype) // the server does not support EDNS0 (RFC 6891, section 7)
		a, err = c.exchange(ctx, "udp", server, k, q)
	}
	if err == nil && a.Truncated {
		a, err = c.exchange(ctx, "tcp", server, k, q)
	}
	switch {
	case err != nil:
		return nil, err
	case a.Rcode != dns.RcodeSuccess && a.Rcode != dns.RcodeNameError:
		return nil, &rcodeError{name, a.Rcode}
	}
	return a, nil
}

// exchange sends one message and waits for its answer.
func (c *Client) exchange(ctx context.Context, network, server string, k *Key, q *dns.Msg) (*dns.Msg, error) {
	if err := c.acquire(ctx); err != nil {
		return nil, err
	}
	defer c.release()
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(queryTimeout))
	defer cancel()
	client := &dns.Client{Net: network, UDPSize: udpSize, Timeout: queryTimeout}
	q = q.Copy()
	q.Id = dns.Id()
	if k != nil {
		client.TsigSecret = map[string]string{k.Name: k.Secret}
		q.SetTsig(k.Name, k.Algorithm, tsigFudge, time.Now().Unix())
	}
	a, _, err := client.ExchangeContext(ctx, q, server)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", server, err)
	}
	if k != nil && a.IsTsig() == nil {
		return nil, fmt.Errorf("%s: %w", server, errUnsigned)
	}
	if !answers(a, q) {
		return nil, fmt.Errorf("%s: %w", server, errMismatchedAnswer)
	}
	return a, nil
}

// answers reports whether a is an answer to q. A server that refuses a query may omit the question.
func answers(a, q *dns.Msg) bool {
	if !a.Response || a.Opcode != q.Opcode {
		return false
	}
	switch len(a.Question) {
	case 0:
		return a.Rcode != dns.RcodeSuccess
	case 1:
		asked, got := q.Question[0], a.Question[0]
		return strings.EqualFold(got.Name, asked.Name) && got.Qtype == asked.Qtype && got.Qclass == asked.Qclass
	}
	return false
}

// zoneSerial returns the SOA record of the zone that contains a domain, or nil if the server has none, and whether the answer is
// authoritative.
func (c *Client) zoneSerial(ctx context.Context, server string, k *Key, domain string) (soa *dns.SOA, authoritative bool, err error) {
	a, err := c.Query(ctx, server, k, domain, dns.TypeSOA)
	if err != nil {
		return nil, false, err
	}
	for _, section := range [][]dns.RR{a.Answer, a.Ns} { // the authority section if the domain lies below the apex
		for _, rr := range section {
			if s, ok := rr.(*dns.SOA); ok && dns.IsSubDomain(strings.ToLower(s.Hdr.Name), strings.ToLower(dns.Fqdn(domain))) {
				return s, a.Authoritative, nil
			}
		}
	}
	return nil, a.Authoritative, nil
}
