package aggregator

import (
	"strings"
	"testing"
)

// TestNewNamesTheInvalidSetting checks that the error for invalid settings names them.
func TestNewNamesTheInvalidSetting(t *testing.T) {
	for want, invalidate := range map[string]func(*Settings){
		"Cells":      func(s *Settings) { s.ShardSets = 0 },
		"Shards":     func(s *Settings) { s.Shards = 0 },
		"Reach":      func(s *Settings) { s.Reach = 9 },
		"Classes":    func(s *Settings) { s.Classes = nil },
		"Classes[0]": func(s *Settings) { s.Classes[0].LatencyObjective = -1 },
		"Rules":      func(s *Settings) { s.Rules.OverloadMultiple = -1 },
	} {
		set := testSettings()
		invalidate(&set)
		if _, err := New(set, 1); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: error %v", want, err)
		}
	}
}
