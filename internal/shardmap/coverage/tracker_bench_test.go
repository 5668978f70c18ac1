package coverage

import (
	"fmt"
	"testing"

	"linkpass/internal/shardmap"
)

// BenchmarkTracker records the answers of one query over the whole key space. They arrive out of order: every
// second one first, then the others.
func BenchmarkTracker(b *testing.B) {
	for _, n := range []int{3, 80, 300} {
		shards := shardmap.FullRange.Split(n)
		b.Run(fmt.Sprintf("shards=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				tracker := NewTracker(shardmap.FullRange)
				for _, first := range []int{0, 1} {
					for i := first; i < n; i += 2 {
						if !tracker.Record(shards[i]) {
							b.Fatalf("answer for %s rejected", shards[i])
						}
					}
				}
				if !tracker.Complete() {
					b.Fatal("the query is not complete after all answers")
				}
			}
		})
	}
}
