package coverage

import (
	"testing"

	"pgregory.net/rapid"

	"linkpass/internal/shardmap"
	_ "linkpass/internal/testrand"
)

// modelKeys is the number of keys of the model.
const modelKeys = 24

// keyRange returns the range of real keys that represents a key of the model. The model spans the whole key
// space, so that the first and the last key are tested.
func keyRange(i int) shardmap.Range {
	return shardmap.FullRange.Split(modelKeys)[i]
}

// rangeOver returns the range of real keys that represents the model's keys from one to another, both included.
func rangeOver(from, to int) shardmap.Range {
	return shardmap.Range{First: keyRange(from).First, Last: keyRange(to).Last}
}

// drawSpan draws the first and the last of one to nine adjacent keys of the model.
func drawSpan(t *rapid.T) (from, to int) {
	from = rapid.IntRange(0, modelKeys-1).Draw(t, "from")
	return from, min(modelKeys-1, from+rapid.IntRange(0, 8).Draw(t, "n"))
}

// model is a reference implementation of Tracker that records each key on its own.
type model struct {
	requested, answered [modelKeys]bool
}

// record records the keys from one to another, both included, if they are all missing. Otherwise it reports
// false.
func (m *model) record(from, to int) bool {
	for i := from; i <= to; i++ {
		if !m.requested[i] || m.answered[i] {
			return false
		}
	}
	for i := from; i <= to; i++ {
		m.answered[i] = true
	}
	return true
}

func TestTrackerMatchesModel(t *testing.T) {
	complete := 0
	rapid.Check(t, func(t *rapid.T) {
		var m model
		var requested []shardmap.Range
		for range rapid.IntRange(1, 3).Draw(t, "requested") {
			from, to := drawSpan(t)
			requested = append(requested, rangeOver(from, to))
			for i := from; i <= to; i++ {
				m.requested[i] = true
			}
		}
		tracker := NewTracker(requested...)
		for range rapid.IntRange(0, 12).Draw(t, "answers") {
			from, to := drawAnswer(t, tracker)
			want := m.record(from, to)
			if got := tracker.Record(rangeOver(from, to)); got != want {
				t.Fatalf("Record of the model's keys %d to %d = %v, want %v", from, to, got, want)
			}
		}
		checkMatchesModel(t, tracker, &m)
		if tracker.Complete() {
			complete++
		}
		checkWeights(t, append(tracker.requested.Ranges(), shardmap.Range{First: 7, Last: 7}))
	})
	if complete == 0 {
		t.Error("no run had a complete query")
	}
}

// drawAnswer draws any span, or the first span that is missing.
func drawAnswer(t *rapid.T, tracker *Tracker) (from, to int) {
	from, to = drawSpan(t)
	missing := tracker.Missing()
	if len(missing) == 0 || !rapid.Bool().Draw(t, "fill") {
		return from, to
	}
	from = 0
	for keyRange(from).First != missing[0].First {
		from++
	}
	to = from
	for keyRange(to).Last != missing[0].Last {
		to++
	}
	return from, to
}

func checkMatchesModel(t *rapid.T, tracker *Tracker, m *model) {
	missing := NewRangeSet(tracker.Missing()...)
	for i := range m.requested {
		want := m.requested[i] && !m.answered[i]
		if got := NewRangeSet(keyRange(i)).Subtract(missing).Empty(); got != want {
			t.Fatalf("key %d of the model missing: got %v, want %v", i, got, want)
		}
	}
	if want := m.requested == m.answered; tracker.Complete() != want {
		t.Fatalf("Complete() = %v, want %v; requested %v, answered %v",
			tracker.Complete(), want, m.requested, m.answered)
	}
}

// checkWeights checks that weights add up and that none is lost to rounding.
func checkWeights(t *rapid.T, ranges []shardmap.Range) {
	const total = 0.5
	sum := 0.0
	weights := SplitWeight(total, ranges)
	for _, w := range weights {
		sum += w
		if w < total*minWeightShare/2 {
			t.Fatalf("weight = %g in %v, want at least %g", w, weights, total*minWeightShare/2)
		}
	}
	if sum < 0.499999 || sum > 0.500001 {
		t.Fatalf("sum of weights = %g, want %g", sum, total)
	}
}
