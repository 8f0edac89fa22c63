package config

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"gullfall/aggregator"
)

// wireSettings is the settings object as the platform and the simulator send it, under their names. Unknown keys are ignored.
type wireSettings struct {
	Az        string
	Balancers *int
	Me        int
	TickS     float64
	Classes   []struct {
		Name, Effect                                   string
		AimS, HardLimitS, MemorySpanS, Gain, LateWorth float64
	}
	Parties []struct {
		Name      string
		QuotaPerS float64
	}
	Discovery, WorthBy string
	OverShareWorth     float64
	FamilyInfo         struct {
		Sets, Slabs, Width, BundleMax         int
		CallCostS                             float64
		ClassFetch                            []int
		ClassNeed, FloorByClass, PartialEarns []float64
		WarmKeys                              bool
	}
	Limits struct {
		SendCap, MaxOpen                                         int
		Cancel, MayDuplicate, MayProbe, RetryAfter, PeerMessages bool
		MaxRetryAfterS, ConnectTimeoutS, ConnIdleS               float64
	}
	Prices struct{ LateFail float64 }
	Rules  struct {
		DrainGraceS, FallMultiple, TipAfterS, StartCapacity, WarmAfterS float64
		BudgetWindowS, BudgetFree, ExtraPerRequest, AskEveryS           float64
	}
}

var effects = map[string]aggregator.Effect{
	"safe": aggregator.Safe, "keyed": aggregator.Keyed, "unsafe": aggregator.Unsafe,
}

// Settings decodes the settings object to aggregator.Settings. It checks only what aggregator.New can't check; that checks the values
// themselves. Errors name the key.
func Settings(raw json.RawMessage) (aggregator.Settings, error) {
	var wire wireSettings
	if err := json.Unmarshal(raw, &wire); err != nil {
		return aggregator.Settings{}, fmt.Errorf("Settings: %w", err)
	}
	coordinators, err := wire.coordinators()
	if err != nil {
		return aggregator.Settings{}, err
	}
	family := wire.FamilyInfo
	set := aggregator.Settings{
		Zone:            wire.Az,
		Aggregators:     coordinators,
		Tick:            SecondsToDuration(wire.TickS),
		OverQuotaFactor: wire.OverShareWorth,
		PriorityPerWork: wire.WorthBy == "work",
		ShardSets:       family.Sets,
		Shards:          family.Slabs,
		Reach:           family.Width,
		CallCost:        SecondsToDuration(family.CallCostS),
		KeyCaches:       family.WarmKeys,
		LateFailPrice:   wire.Prices.LateFail,
		PollList:        wire.Discovery == "subscribe",
		Limits:          wire.limits(),
		Rules:           wire.rules(),
	}
	for _, p := range wire.Parties {
		set.Tenants = append(set.Tenants, aggregator.Tenant{Name: p.Name, Rate: p.QuotaPerS})
	}
	set.Classes, err = wire.classes()
	return set, err
}

// coordinators returns the number of coordinators, 1 if the settings object does not give it. Each coordinator computes its share of the
// load on warming data nodes, of probes and of list calls from it, so a number that is too low overloads data nodes and discovery.
func (w *wireSettings) coordinators() (int, error) {
	count := 1
	if w.Balancers != nil {
		count = *w.Balancers
	}
	if count < 1 {
		return 0, fmt.Errorf("Settings: Balancers: %d; give the number of coordinators, 1 at least", count)
	}
	if w.Me < 0 || w.Balancers != nil && w.Me >= count {
		return 0, fmt.Errorf("Settings: Me: %d is not within 0 and Balancers - 1 (%d)", w.Me, count-1)
	}
	return count, nil
}

func (w *wireSettings) limits() aggregator.Limits {
	return aggregator.Limits{
		MaxAttempts:    w.Limits.SendCap,
		MaxOpen:        w.Limits.MaxOpen,
		MaxBatch:       w.FamilyInfo.BundleMax,
		CanCancel:      w.Limits.Cancel,
		Hedging:        w.Limits.MayDuplicate,
		Probes:         w.Limits.MayProbe,
		Gossip:         w.Limits.PeerMessages,
		SendRetryAfter: w.Limits.RetryAfter,
		MaxRetryAfter:  SecondsToDuration(w.Limits.MaxRetryAfterS),
		ConnectTimeout: SecondsToDuration(w.Limits.ConnectTimeoutS),
		ConnIdle:       SecondsToDuration(w.Limits.ConnIdleS),
	}
}

func (w *wireSettings) rules() aggregator.Rules {
	return aggregator.Rules{
		DrainGrace:       SecondsToDuration(w.Rules.DrainGraceS),
		OverloadMultiple: w.Rules.FallMultiple,
		OverloadWindow:   SecondsToDuration(w.Rules.TipAfterS),
		InitialCapacity:  w.Rules.StartCapacity,
		WarmupTime:       SecondsToDuration(w.Rules.WarmAfterS),
		RetryWindow:      SecondsToDuration(w.Rules.BudgetWindowS),
		RetryFloor:       w.Rules.BudgetFree,
		RetryRatio:       w.Rules.ExtraPerRequest,
		PollInterval:     SecondsToDuration(w.Rules.AskEveryS),
	}
}

// classes returns the classes with their entries in the lists of FamilyInfo, each of which is empty or has one entry per class. An
// unknown effect is treated as unsafe, so that no part of such a class is sent twice.
func (w *wireSettings) classes() (classes []aggregator.Class, err error) {
	family := w.FamilyInfo
	for _, n := range []int{len(family.ClassNeed), len(family.FloorByClass), len(family.PartialEarns), len(family.ClassFetch)} {
		if n != 0 && n != len(w.Classes) {
			return nil, fmt.Errorf("Settings: FamilyInfo: a list of %d entries for %d classes", n, len(w.Classes))
		}
	}
	for i, c := range w.Classes {
		effect, known := effects[c.Effect]
		if !known {
			effect = aggregator.Unsafe
		}
		classes = append(classes, aggregator.Class{
			Name:             c.Name,
			LatencyObjective: SecondsToDuration(c.AimS),
			Deadline:         SecondsToDuration(c.HardLimitS),
			DedupWindow:      SecondsToDuration(c.MemorySpanS),
			Effect:           effect,
			Priority:         c.Gain,
			LateShare:        c.LateWorth,
			CompleteShare:    entryOr(family.ClassNeed, i, 1),
			MinShare:         entryOr(family.FloorByClass, i, 1),
			PartialShare:     entryOr(family.PartialEarns, i, 0),
			SecondPhaseParts: entryOr(family.ClassFetch, i, 0),
		})
	}
	return classes, nil
}

// entryOr returns list[i], or missing if the list has no such entry.
func entryOr[T any](list []T, i int, missing T) T {
	if i < len(list) {
		return list[i]
	}
	return missing
}

// SecondsToDuration converts seconds to a time.Duration, rounded to whole microseconds and clamped to ±9e15 ns (about 104 days).
func SecondsToDuration(s float64) time.Duration {
	us := math.Round(s * 1e6)
	return time.Duration(math.Max(-9e15, math.Min(9e15, us*1e3)))
}
