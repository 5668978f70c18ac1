package platform

import (
	"encoding/json"
	"testing"

	"pgregory.net/rapid"

	"linkpass/internal/coordinator"
)

// A value from a server may contain any bytes. It must not make the JSON of the whole answer invalid.
func TestEncodeAnswerIsValidJSONForAnyValue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		res := encodeAnswer(coordinator.Answer{Status: coordinator.Answered,
			Values: []coordinator.Value{{Shard: 1, Data: rapid.SliceOf(rapid.Byte()).Draw(t, "value")}}})
		if res.Status != 200 || !json.Valid(res.Body) {
			t.Fatalf("status = %d, body = %q, want status 200 and valid JSON", res.Status, res.Body)
		}
	})
}
