package nameserver

import (
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/miekg/dns"
)

// Do runs one line of a script:
//
//	add LABEL ADDR [key=value ...]   adds an instance of _dn._tcp; priority= and srvweight= go to SRV, the rest to TXT
//	remove LABEL                     removes the instance
//	drain LABEL                      adds state=draining to its TXT record
//	flap LABEL PAUSE                 removes the instance and adds it again after the pause
//	mute|refuse|servfail|lose|truncate|lie|transfer|bare|nosoa on|off   turns a switch on or off: no answers, REFUSED, SERVFAIL, lame
//	                                 answers, truncated lists, wrong question, transfers, no additional records, SOA queries refused
//	serial N                         sets the serial
//	cut N                            cuts transfers off after N messages; -1 for never
//
// An underscore in LABEL stands for a space. An error names the line.
func (s *Server) Do(line string) error {
	words := strings.Fields(line)
	if len(words) < 2 {
		return scriptError(line, "too few words")
	}
	command, ok := commands[words[0]]
	if !ok {
		command = (*Server).toggle
	}
	if err := command(s, words); err != nil {
		return scriptError(line, err.Error())
	}
	return nil
}

func scriptError(line, why string) error { return fmt.Errorf("nameserver script %q: %s", line, why) }

// commands are the script commands other than the on/off switches. Each gets all words of its line, at least two.
var commands = map[string]func(s *Server, words []string) error{
	"add": (*Server).add,
	"remove": func(s *Server, words []string) error {
		s.zone.Remove(labelOf(words))
		return nil
	},
	"drain":  (*Server).drain,
	"flap":   (*Server).flap,
	"serial": (*Server).setSerial,
	"cut":    (*Server).setTransferCut,
}

func labelOf(words []string) string { return strings.ReplaceAll(words[1], "_", " ") }

func (s *Server) add(words []string) error {
	if len(words) < 3 {
		return errors.New("add needs an address")
	}
	addr, err := netip.ParseAddrPort(words[2])
	if err != nil {
		return err
	}
	i := Instance{Label: labelOf(words), Service: "_dn._tcp", Addr: addr}
	for _, w := range words[3:] {
		name, value, _ := strings.Cut(w, "=")
		n, err := strconv.ParseUint(value, 10, 16)
		switch {
		case name == "priority" && err == nil:
			i.Priority = uint16(n)
		case name == "srvweight" && err == nil:
			i.Weight = uint16(n)
		default:
			i.Text = append(i.Text, w)
		}
	}
	s.zone.Set(i)
	return nil
}

var errNoInstance = errors.New("no such instance")

func (s *Server) drain(words []string) error {
	i, ok := s.zone.Get(labelOf(words))
	if !ok {
		return errNoInstance
	}
	i.Text = append([]string{"state=draining"}, i.Text...)
	s.zone.Set(i)
	return nil
}

func (s *Server) flap(words []string) error {
	i, ok := s.zone.Get(labelOf(words))
	if !ok || len(words) < 3 {
		return fmt.Errorf("%w, or the pause is missing", errNoInstance)
	}
	pause, err := time.ParseDuration(words[2])
	if err != nil {
		return err
	}
	s.zone.Remove(labelOf(words))
	time.AfterFunc(pause, func() { s.zone.Set(i) })
	return nil
}

func (s *Server) setSerial(words []string) error {
	n, err := strconv.ParseUint(words[1], 10, 32)
	if err != nil {
		return err
	}
	s.zone.SetSerial(uint32(n))
	return nil
}

func (s *Server) setTransferCut(words []string) error {
	n, err := strconv.Atoi(words[1])
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cutAfter = n
	return nil
}

// toggle turns a switch on or off: a fault, or transfers.
func (s *Server) toggle(words []string) error {
	on := words[1] == "on"
	if !on && words[1] != "off" {
		return errors.New("the switch needs on or off")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch words[0] {
	case "refuse":
		s.rcode = map[bool]int{true: dns.RcodeRefused}[on]
		return nil
	case "servfail":
		s.rcode = map[bool]int{true: dns.RcodeServerFailure}[on]
		return nil
	}
	flag, ok := map[string]*bool{"mute": &s.mute, "lose": &s.lame, "truncate": &s.truncateLists, "lie": &s.wrongQuestion, "transfer": &s.transfers,
		"bare": &s.omitAdditional, "nosoa": &s.refuseSOA}[words[0]]
	if !ok {
		return errors.New("unknown command")
	}
	*flag = on
	return nil
}
