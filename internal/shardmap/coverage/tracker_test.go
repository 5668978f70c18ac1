package coverage

import (
	"testing"

	"pgregory.net/rapid"

	_ "linkpass/internal/seeded"
	"linkpass/internal/shardmap"
)

// place maps a small model's key onto the ends and the middle of the key space, so that its
// first and last keys are met.
func keyRange(i int) shardmap.Range {
	const n = 24
	return shardmap.FullRange.Split(n)[i]
}

func drawSpan(t *rapid.T) (from, to int) {
	from = rapid.IntRange(0, 23).Draw(t, "from")
	return from, min(23, from+rapid.IntRange(0, 8).Draw(t, "n"))
}

func rangeOver(from, to int) shardmap.Range {
	return shardmap.Range{First: keyRange(from).First, Last: keyRange(to).Last}
}

// The ledger agrees with a model that counts each key by itself.
func TestTrackerMatchesModel(t *testing.T) {
	wholes := 0
	rapid.Check(t, func(t *rapid.T) {
		var wanted, in [24]bool
		var ranges []shardmap.Range
		for range rapid.IntRange(1, 3).Draw(t, "wanted") {
			from, to := drawSpan(t)
			ranges = append(ranges, rangeOver(from, to))
			for i := from; i <= to; i++ {
				wanted[i] = true
			}
		}
		l := NewTracker(ranges...)
		for range rapid.IntRange(0, 12).Draw(t, "answers") {
			from, to := drawSpan(t)
			if holes := l.Missing(); len(holes) > 0 && rapid.Bool().Draw(t, "fill") {
				for from = 0; keyRange(from).First != holes[0].First; from++ {
				}
				for to = from; keyRange(to).Last != holes[0].Last; to++ {
				}
			}
			fits := true
			for i := from; i <= to; i++ {
				fits = fits && wanted[i] && !in[i]
			}
			if got := l.Record(rangeOver(from, to)); got != fits {
				t.Fatalf("booked %d to %d: %v, want %v", from, to, got, fits)
			}
			for i := from; i <= to && fits; i++ {
				in[i] = true
			}
		}
		missing := NewRangeSet(l.Missing()...)
		for i := range wanted {
			hole := wanted[i] && !in[i]
			if got := NewRangeSet(keyRange(i)).Subtract(missing).Empty(); got != hole {
				t.Fatalf("key %d missing: %v, want %v", i, got, hole)
			}
		}
		if l.Complete() != (wanted == in) {
			t.Fatalf("whole: %v, wanted %v, in %v", l.Complete(), wanted, in)
		}
		if l.Complete() {
			wholes++
		}
		size := 0.0
		weights := SplitWeight(0.5, append(l.requested.Ranges(), shardmap.Range{First: 7, Last: 7}))
		for _, w := range weights {
			size += w
			if w < 0.5*minWeightShare/2 {
				t.Fatalf("%v vanish", weights)
			}
		}
		if size < 0.499999 || size > 0.500001 {
			t.Fatalf("weights add up to %g", size)
		}
	})
	if wholes == 0 {
		t.Error("no run was whole")
	}
}
