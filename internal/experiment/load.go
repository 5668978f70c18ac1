package experiment

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"linkpass/internal/emulator"
	"linkpass/internal/shardmap"
)

// query is one query of a run: drawn ahead from the seed, so that runs side by side get the same.
type query struct {
	at     time.Duration
	class  int
	params string
	wanted []shardmap.Range
	body   string // "": every record
}

// draw makes the queries of a run: Poisson arrivals, a sixth of them league tables.
func draw(seed uint64, length time.Duration, rate float64, truth []emulator.Record) (out []query) {
	rng := rand.New(rand.NewPCG(seed, 1))
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= length {
			return out
		}
		q := query{at: at}
		if rng.Float64() < 0.16 {
			q.class = 1
			pieces := shardmap.FullRange.Split(16) // half of the keys, from anywhere
			var names []string
			from := rng.IntN(16)
			for i := range 8 {
				q.wanted = append(q.wanted, pieces[(from+i)%16])
				names = append(names, pieces[(from+i)%16].String())
			}
			q.params = "preference=" + url.QueryEscape("_ranges:"+strings.Join(names, ","))
		} else {
			var ids []string
			for range 4 {
				r := truth[rng.IntN(len(truth))]
				ids = append(ids, r.ID)
				q.wanted = append(q.wanted, shardmap.Range{First: r.Key, Last: r.Key})
			}
			q.params = "routing=" + strings.Join(ids, ",")
		}
		out = append(out, q)
	}
}

// tally is what came of a run's queries.
type tally struct {
	mu                                          sync.Mutex
	Queries, Whole, Partial, Refused, Failed    int
	Lost, WronglyWhole, Duplicates, Unexplained int
	Asked, Worth                                float64
	Causes                                      map[string]int // of ranges that were missing
	latency                                     []*hdrhistogram.Histogram
}

func newTally() *tally {
	t := &tally{Causes: map[string]int{}}
	for range classes {
		t.latency = append(t.latency, hdrhistogram.New(1, 20_000_000, 3)) // microseconds
	}
	return t
}

// service is the worth answered in time over the worth asked for.
func (t *tally) service() float64 { return t.Worth / max(1e-9, t.Asked) }

// answer is what of a search's answer is looked at.
type answer struct {
	TimedOut bool `json:"timed_out"`
	Shards   struct {
		Failed   int `json:"failed"`
		Failures []struct {
			Range  string `json:"range"`
			Reason struct {
				Type   string `json:"type"`
				Reason string `json:"reason"`
			} `json:"reason"`
		} `json:"failures"`
	} `json:"_shards"`
	Hits struct {
		Hits []struct {
			ID string `json:"_id"`
		} `json:"hits"`
	} `json:"hits"`
}

// play sends the queries, each at its time, and books what comes of them.
func (w *world) play(queries []query, t *tally) {
	begin := time.Now()
	var open sync.WaitGroup
	for i, q := range queries {
		time.Sleep(time.Until(begin.Add(q.at)))
		n := w.nodes[i%len(w.nodes)]
		open.Go(func() { w.one(n, q, t) })
	}
	open.Wait()
}

func (w *world) one(n *node, q query, t *tally) {
	c := classes[q.class]
	began := time.Now()
	status, body, err := w.ask(n, "POST", fmt.Sprintf("/%s/_search?%s", c.index, q.params), cmp.Or(q.body, `{"size":100000}`))
	took := time.Since(began)
	var a answer
	if err == nil && status == 200 {
		err = json.Unmarshal(body, &a)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Queries++
	t.Asked += c.worth
	_ = t.latency[q.class].RecordValue(took.Microseconds())
	switch {
	case err != nil, took > c.limit+100*time.Millisecond:
		t.Lost++
		return
	case status == 429:
		t.Refused++
		t.causes(body)
		return
	case status != 200:
		t.Failed++
		t.causes(body)
		return
	}
	ids := make([]string, len(a.Hits.Hits))
	for i, h := range a.Hits.Hits {
		ids[i] = h.ID
	}
	v := emulator.CheckAnswer(w.fleet.Records, q.wanted, ids, a.Shards.Failed == 0 && !a.TimedOut)
	t.Duplicates += v.Duplicates + v.Unrequested
	switch {
	case v.ClaimedComplete && !v.Complete:
		t.WronglyWhole++
	case !v.ClaimedComplete:
		t.Partial++
		if w.unexplained(q, ids, a) {
			t.Unexplained++
		}
		t.causes(body)
	default:
		t.Whole++
		if took <= c.aim {
			t.Worth += c.worth
		} else {
			t.Worth += c.worth * c.late
		}
	}
}

// causes books why ranges are missing from an answer, or all of it.
func (t *tally) causes(body []byte) {
	var a answer
	if json.Unmarshal(body, &a) != nil || len(a.Shards.Failures) == 0 {
		t.Causes["untold"]++
		return
	}
	t.Causes[strings.TrimPrefix(a.Shards.Failures[0].Reason.Reason, "the latest attempt ended as ")]++
}

// unexplained tells whether a record is missing from a partial answer whose range is not told as missing.
func (w *world) unexplained(q query, ids []string, a answer) bool {
	told := q.wanted[:0:0]
	for _, f := range a.Shards.Failures {
		if r, err := shardmap.ParseRange(f.Range); err == nil {
			told = append(told, r)
		}
	}
	in := map[string]bool{}
	for _, id := range ids {
		in[id] = true
	}
	for _, want := range q.wanted {
		for _, rec := range w.fleet.Records {
			if !want.Contains(rec.Key) || in[rec.ID] {
				continue
			}
			explained := false
			for _, r := range told {
				explained = explained || r.Contains(rec.Key)
			}
			if !explained {
				return true
			}
		}
	}
	return false
}
