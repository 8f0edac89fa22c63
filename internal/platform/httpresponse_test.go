package platform

import (
	"encoding/json"
	"testing"

	"gullfall/internal/coordinator"
)

// TestAnswerBody: documents are passed to clients unchanged or not at all; JSON would alter invalid UTF-8.
func TestAnswerBody(t *testing.T) {
	for doc, valid := range map[string]bool{"d\u00e9j\u00e0 \"vu\"\n": true, "\xff\xfe": false} {
		body, err := answerBody(coordinator.Answer{Complete: true, Values: []coordinator.PartValue{{Shard: 1, Docs: [][]byte{[]byte(doc)}}}})
		var got struct{ Hits []struct{ Doc string } }
		if (err == nil) != valid || valid && (json.Unmarshal(body, &got) != nil || got.Hits[0].Doc != doc) {
			t.Errorf("%q: %s, %v", doc, body, err)
		}
	}
}
