package dnssd

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"gullfall/internal/membership"
)

// Protocols of data nodes: the names under which their dispatchers are registered.
const (
	ProtocolFrames = ""
	ProtocolFlight = "flight"
)

// protocols maps the values of the TXT key proto to protocols.
var protocols = map[string]string{"frames": ProtocolFrames, "flight": ProtocolFlight}

// Bounds of the values of TXT keys.
const (
	maxIDBytes   = 255
	maxWeight    = 1e6
	maxStartedMS = 1 << 45
)

// Text holds the values of a TXT record (RFC 6763, section 6) by key in lower case. A key without "=" has an empty value.
type Text map[string]string

// ReadText reads the strings of a TXT record in the form in which the DNS library holds them. The first string with a key counts;
// strings without a key are ignored.
func ReadText(list []string) Text {
	t := Text{}
	for _, s := range list {
		key, value, _ := strings.Cut(unescape(s), "=")
		key = strings.ToLower(key)
		if _, twice := t[key]; key == "" || twice {
			continue
		}
		t[key] = value
	}
	return t
}

// applyText sets the fields of a data node from the keys of its TXT record. Unknown keys are ignored.
func applyText(rec *membership.Record, text Text) error {
	for _, apply := range []func(*membership.Record, Text) error{applyID, applyProtocol, applyLocation, applyWeight, applyState, applyStarted} {
		if err := apply(rec, text); err != nil {
			return err
		}
	}
	return nil
}

func applyID(rec *membership.Record, text Text) error {
	id := text["id"]
	if id == "" {
		return nil
	}
	if len(id) > maxIDBytes || strings.ContainsFunc(id, func(r rune) bool { return r <= ' ' || r > '~' }) {
		return fmt.Errorf("TXT id=%q: up to %d printable characters are allowed", id, maxIDBytes)
	}
	rec.ID = id
	return nil
}

func applyProtocol(rec *membership.Record, text Text) error {
	value, ok := text["proto"]
	if !ok {
		return nil
	}
	protocol, known := protocols[strings.ToLower(value)]
	if !known {
		return fmt.Errorf("TXT proto=%q is neither frames nor flight", value)
	}
	rec.Proto = protocol
	return nil
}

func applyLocation(rec *membership.Record, text Text) error {
	rec.Zone = text["zone"]
	value, ok := text["cell"]
	if !ok {
		return nil
	}
	shardSet, err := strconv.Atoi(value)
	if err != nil || shardSet < 0 {
		return fmt.Errorf("TXT cell=%q is no number from 0 on", value)
	}
	rec.ShardSet = shardSet
	return nil
}

func applyWeight(rec *membership.Record, text Text) error {
	value, ok := text["weight"]
	if !ok {
		return nil
	}
	weight, err := strconv.ParseFloat(value, 64)
	if valid := weight > 0 && weight <= maxWeight; err != nil || !valid {
		return fmt.Errorf("TXT weight=%q is no number above 0", value)
	}
	rec.Weight = weight
	return nil
}

// applyState treats an unknown state as draining, so that nothing new is sent to the data node.
func applyState(rec *membership.Record, text Text) error {
	if value, ok := text["state"]; ok && !strings.EqualFold(value, "serving") {
		rec.State = membership.Draining
	}
	return nil
}

// applyStarted sets the start time. The value 0 means that the data node started long ago.
func applyStarted(rec *membership.Record, text Text) error {
	value, ok := text["started_ms"]
	if !ok {
		return nil
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil || ms < 0 || ms > maxStartedMS {
		return fmt.Errorf("TXT started_ms=%q is no time in milliseconds", value)
	}
	rec.StartUnknown = false
	if ms > 0 {
		rec.Started = time.UnixMilli(ms)
	}
	return nil
}
