package platform

import (
	"encoding/json"
	"testing"

	"pgregory.net/rapid"

	"linkpass/internal/coordinator"
)

// Guards against one value of a server that makes the answer unreadable.
func TestEncodeAnswerIsValidJSONForAnyValue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		res := encodeAnswer(coordinator.Answer{Status: coordinator.Answered,
			Values: []coordinator.Value{{Shard: 1, Data: rapid.SliceOf(rapid.Byte()).Draw(t, "value")}}})
		if res.Status != 200 || !json.Valid(res.Body) {
			t.Fatalf("%d %q", res.Status, res.Body)
		}
	})
}
