package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"
	"time"

	"linkpass/internal/coordinator"
)

var (
	errIncompleteBody = errors.New("body needs expr and parts")
	errInvalidShard   = errors.New("body: a part names no slice, an unknown one, or one twice")
)

// decodeParts decodes the body of a request. Each part must name a different shard from 0 to shardCount-1. All returned
// parts share one payload.
func decodeParts(data []byte, shardCount int) ([]coordinator.Part, error) {
	var b body
	if err := json.Unmarshal(data, &b); err != nil {
		return nil, fmt.Errorf("body: %w", err)
	}
	if b.Expr == nil || len(b.Parts) == 0 {
		return nil, errIncompleteBody
	}
	seen, sum, payload := map[int]bool{}, 0.0, []byte(*b.Expr)
	parts := make([]coordinator.Part, 0, len(b.Parts))
	for _, p := range b.Parts {
		if p.ID == nil || *p.ID < 0 || *p.ID >= shardCount || seen[*p.ID] {
			return nil, errInvalidShard
		}
		if p.W < 0 || p.W > 1 || p.Hint < 0 || p.Hint > maxHint {
			return nil, fmt.Errorf("body: part %d has a weight or a hint out of range", *p.ID)
		}
		sum += p.W
		key, err := decodeKey(p.Tag)
		if err != nil {
			return nil, fmt.Errorf("body: tag of part %d: %w", *p.ID, err)
		}
		seen[*p.ID] = true
		parts = append(parts, coordinator.Part{
			Shard:        *p.ID,
			Weight:       p.W,
			Key:          key,
			ExpectedWork: time.Duration(p.Hint) * time.Microsecond,
			Payload:      payload,
		})
	}
	if math.Abs(sum-1) > weightTolerance { // the missing share of an answer is computed from weights that add up to 1
		return nil, fmt.Errorf("body: the weights add up to %g", sum)
	}
	return parts, nil
}

// decodeKey decodes the tag of a part, a hexadecimal number, to the part's key. The key is 0 if the tag is empty.
func decodeKey(tag string) (uint64, error) {
	if tag == "" {
		return 0, nil
	}
	return strconv.ParseUint(tag, 16, 64)
}
