package config

// This file owns the settings object, which the platform and the simulator hand over in the same form. It turns
// it into the module's terms and must never judge the figures, which the module checks itself.

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"gullfall/aggregator"
)

// wireSettings mirrors the settings object of the wire; keys it does not name are skipped.
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

// Settings decodes the settings object into the module's terms.
func Settings(raw json.RawMessage) (aggregator.Settings, error) {
	var w wireSettings
	if err := json.Unmarshal(raw, &w); err != nil {
		return aggregator.Settings{}, fmt.Errorf("Settings: %w", err)
	}
	// Shares of cold data nodes, probes and list calls go by the number of coordinators: none is no figure to guess at.
	balancers := 1
	if w.Balancers != nil {
		balancers = *w.Balancers
	}
	if balancers < 1 {
		return aggregator.Settings{}, fmt.Errorf("Settings: Balancers: %d; give the number of coordinators, 1 at least", balancers)
	}
	if w.Me < 0 || w.Balancers != nil && w.Me >= balancers {
		return aggregator.Settings{}, fmt.Errorf("Settings: Me: %d is not within 0 and Balancers - 1 (%d)", w.Me, balancers-1)
	}
	s := aggregator.Settings{
		Zone: w.Az, Aggregators: balancers, Tick: Duration(w.TickS), OverQuotaFactor: w.OverShareWorth,
		PriorityPerWork: w.WorthBy == "work", ShardSets: w.FamilyInfo.Sets, Shards: w.FamilyInfo.Slabs,
		Reach: w.FamilyInfo.Width, CallCost: Duration(w.FamilyInfo.CallCostS), KeyCaches: w.FamilyInfo.WarmKeys,
		LateFailPrice: w.Prices.LateFail, PollList: w.Discovery == "subscribe",
		Limits: aggregator.Limits{
			MaxAttempts: w.Limits.SendCap, MaxOpen: w.Limits.MaxOpen, MaxBatch: w.FamilyInfo.BundleMax,
			CanCancel: w.Limits.Cancel, Hedging: w.Limits.MayDuplicate, Probes: w.Limits.MayProbe, Gossip: w.Limits.PeerMessages,
			SendRetryAfter: w.Limits.RetryAfter, MaxRetryAfter: Duration(w.Limits.MaxRetryAfterS),
			ConnectTimeout: Duration(w.Limits.ConnectTimeoutS), ConnIdle: Duration(w.Limits.ConnIdleS),
		},
		Rules: aggregator.Rules{
			DrainGrace: Duration(w.Rules.DrainGraceS), OverloadMultiple: w.Rules.FallMultiple,
			OverloadWindow: Duration(w.Rules.TipAfterS), InitialCapacity: w.Rules.StartCapacity,
			WarmupTime: Duration(w.Rules.WarmAfterS), RetryWindow: Duration(w.Rules.BudgetWindowS),
			RetryFloor: w.Rules.BudgetFree, RetryRatio: w.Rules.ExtraPerRequest, PollInterval: Duration(w.Rules.AskEveryS),
		},
	}
	for _, p := range w.Parties {
		s.Tenants = append(s.Tenants, aggregator.Tenant{Name: p.Name, Rate: p.QuotaPerS})
	}
	info := w.FamilyInfo
	for _, n := range []int{len(info.ClassNeed), len(info.FloorByClass), len(info.PartialEarns), len(info.ClassFetch)} {
		if n != 0 && n != len(w.Classes) {
			return s, fmt.Errorf("Settings: FamilyInfo: a list of %d entries for %d classes", n, len(w.Classes))
		}
	}
	for i, c := range w.Classes {
		effect, known := effects[c.Effect]
		if !known {
			effect = aggregator.Unsafe
		}
		class := aggregator.Class{
			Name: c.Name, LatencyObjective: Duration(c.AimS), Deadline: Duration(c.HardLimitS), DedupWindow: Duration(c.MemorySpanS),
			Effect: effect, Priority: c.Gain, LateShare: c.LateWorth, CompleteShare: at(info.ClassNeed, i, 1),
			MinShare: at(info.FloorByClass, i, 1), PartialShare: at(info.PartialEarns, i, 0), FetchParts: at(info.ClassFetch, i, 0),
		}
		s.Classes = append(s.Classes, class)
	}
	return s, nil
}

// at reads an optional list that has one entry for each class.
func at[T any](list []T, i int, missing T) T {
	if i < len(list) {
		return list[i]
	}
	return missing
}

// Duration turns seconds into a Duration, rounded to the wire's microseconds.
func Duration(s float64) time.Duration {
	us := math.Round(s * 1e6)
	return time.Duration(math.Max(-9e15, math.Min(9e15, us*1e3)))
}
