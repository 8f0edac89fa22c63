package config

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"gullfall/aggregator"
)

// wireSettings is the settings object in the words of the platform and of the simulator, which hand it over in the same form. Keys that
// it does not name are skipped.
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

// Settings turns the settings object into the module's terms. It checks only what the module can't see; the figures are for the module
// to check. An error names the key.
func Settings(raw json.RawMessage) (aggregator.Settings, error) {
	var wire wireSettings
	if err := json.Unmarshal(raw, &wire); err != nil {
		return aggregator.Settings{}, fmt.Errorf("Settings: %w", err)
	}
	coordinators, err := wire.coordinators()
	if err != nil {
		return aggregator.Settings{}, err
	}
	info := wire.FamilyInfo
	set := aggregator.Settings{
		Zone:            wire.Az,
		Aggregators:     coordinators,
		Tick:            Duration(wire.TickS),
		OverQuotaFactor: wire.OverShareWorth,
		PriorityPerWork: wire.WorthBy == "work",
		ShardSets:       info.Sets,
		Shards:          info.Slabs,
		Reach:           info.Width,
		CallCost:        Duration(info.CallCostS),
		KeyCaches:       info.WarmKeys,
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

// coordinators is how many there are. Each takes its share of warming data nodes, probes and list calls by it, so that a wrong number
// overloads them; a settings object without it is for one coordinator.
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
		MaxRetryAfter:  Duration(w.Limits.MaxRetryAfterS),
		ConnectTimeout: Duration(w.Limits.ConnectTimeoutS),
		ConnIdle:       Duration(w.Limits.ConnIdleS),
	}
}

func (w *wireSettings) rules() aggregator.Rules {
	return aggregator.Rules{
		DrainGrace:       Duration(w.Rules.DrainGraceS),
		OverloadMultiple: w.Rules.FallMultiple,
		OverloadWindow:   Duration(w.Rules.TipAfterS),
		InitialCapacity:  w.Rules.StartCapacity,
		WarmupTime:       Duration(w.Rules.WarmAfterS),
		RetryWindow:      Duration(w.Rules.BudgetWindowS),
		RetryFloor:       w.Rules.BudgetFree,
		RetryRatio:       w.Rules.ExtraPerRequest,
		PollInterval:     Duration(w.Rules.AskEveryS),
	}
}

// classes joins the classes with the lists of FamilyInfo, each of which is empty or has one entry for each class. An effect that is not
// known reads as unsafe: nothing of such a class is sent twice.
func (w *wireSettings) classes() (classes []aggregator.Class, err error) {
	info := w.FamilyInfo
	for _, n := range []int{len(info.ClassNeed), len(info.FloorByClass), len(info.PartialEarns), len(info.ClassFetch)} {
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
			LatencyObjective: Duration(c.AimS),
			Deadline:         Duration(c.HardLimitS),
			DedupWindow:      Duration(c.MemorySpanS),
			Effect:           effect,
			Priority:         c.Gain,
			LateShare:        c.LateWorth,
			CompleteShare:    entryOr(info.ClassNeed, i, 1),
			MinShare:         entryOr(info.FloorByClass, i, 1),
			PartialShare:     entryOr(info.PartialEarns, i, 0),
			SecondPhaseParts: entryOr(info.ClassFetch, i, 0),
		})
	}
	return classes, nil
}

// entryOr reads an optional list that has one entry for each class.
func entryOr[T any](list []T, i int, missing T) T {
	if i < len(list) {
		return list[i]
	}
	return missing
}

// Duration turns seconds into a Duration, rounded to whole microseconds and held within what a Duration can be.
func Duration(s float64) time.Duration {
	us := math.Round(s * 1e6)
	return time.Duration(math.Max(-9e15, math.Min(9e15, us*1e3)))
}
