package experiment

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"linkpass/internal/emulator"
	"linkpass/internal/shardmap"
)

const (
	lostTolerance = 100 * time.Millisecond // an answer that comes later than this after the timeout counts as lost
	maxLatencyUS  = 20_000_000             // largest value of a histogram, in microseconds
	latencyDigits = 3                      // significant digits of a histogram

	unknownCause = "untold"                       // key of loadResult.Causes if a response names no missing range
	causePrefix  = "the latest attempt ended as " // precedes the outcome in the reason of a missing range
)

// loadResult counts the outcomes of a run's queries.
type loadResult struct {
	mu sync.Mutex // guards all fields while queries run

	Queries, Complete, Partial, Rejected, Failed int

	Lost            int // no answer within the timeout and lostTolerance
	FalselyComplete int // answers that claim to be complete but are not
	Duplicates      int // records that are duplicate or were not requested
	Unexplained     int // partial answers that lack a record outside the ranges that they report as missing

	OfferedWeight float64                   // sum of the priority weights of all queries
	ServedWeight  float64                   // sum of servedWeight over the complete answers
	Causes        map[string]int            // number of incomplete answers, by the outcome of the first missing range
	latency       []*hdrhistogram.Histogram // by position in classes; in microseconds
}

func newLoadResult() *loadResult {
	r := &loadResult{Causes: map[string]int{}}
	for range classes {
		r.latency = append(r.latency, newLatencyHistogram())
	}
	return r
}

// newLatencyHistogram returns an empty histogram of latencies in microseconds.
func newLatencyHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyUS, latencyDigits)
}

// percentileMS returns a percentile, from 0 to 100, of a histogram of microseconds, in milliseconds.
func percentileMS(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtQuantile(percentile)) / 1000
}

// service returns the served weight divided by the offered weight, from 0 to 1.
func (r *loadResult) service() float64 { return r.ServedWeight / max(1e-9, r.OfferedWeight) }

// runQueries sends each query at its time, to the coordinators in turn, and returns when all queries have ended.
func (w *world) runQueries(queries []query, result *loadResult) {
	begin := time.Now()
	var inFlight sync.WaitGroup
	for i, q := range queries {
		time.Sleep(time.Until(begin.Add(q.at)))
		n := w.nodes[i%len(w.nodes)]
		inFlight.Go(func() { w.runQuery(n, q, result) })
	}
	inFlight.Wait()
}

func (w *world) runQuery(n *node, q query, result *loadResult) {
	c := classes[q.class]
	began := time.Now()
	status, body, err := w.call(n, "POST", fmt.Sprintf("/%s/_search?%s", c.index, q.params), cmp.Or(q.body, `{"size":100000}`))
	latency := time.Since(began)
	var response searchResponse
	if err == nil && status == http.StatusOK {
		err = json.Unmarshal(body, &response)
	}
	result.mu.Lock()
	defer result.mu.Unlock()
	result.Queries++
	result.OfferedWeight += c.priorityWeight
	_ = result.latency[q.class].RecordValue(latency.Microseconds())
	switch {
	case err != nil, latency > c.timeout+lostTolerance:
		result.Lost++
	case status == http.StatusTooManyRequests:
		result.Rejected++
		result.countCause(body)
	case status != http.StatusOK:
		result.Failed++
		result.countCause(body)
	default:
		result.countAnswer(w.fleet.Records, q, &response, latency, body)
	}
}

// countAnswer compares an answer with the existing records and counts the outcome. The caller holds r.mu.
func (r *loadResult) countAnswer(records []emulator.Record, q query, response *searchResponse, latency time.Duration, body []byte) {
	ids := response.ids()
	check := emulator.CheckAnswer(records, q.requested, ids, response.claimsComplete())
	r.Duplicates += check.Duplicates + check.Unrequested
	switch {
	case check.ClaimedComplete && !check.Complete:
		r.FalselyComplete++
	case !check.ClaimedComplete:
		r.Partial++
		if hasUnexplainedGap(records, q.requested, ids, response.missingRanges()) {
			r.Unexplained++
		}
		r.countCause(body)
	default:
		r.Complete++
		r.ServedWeight += servedWeight(classes[q.class], latency)
	}
}

// servedWeight returns the priority weight of a complete answer, times class.lateValue if it came after the latency
// objective.
func servedWeight(c class, latency time.Duration) float64 {
	if latency <= c.latencyObjective {
		return c.priorityWeight
	}
	return c.priorityWeight * c.lateValue
}

// countCause counts the outcome of the first missing range, or unknownCause if the body names none. The caller holds
// r.mu.
func (r *loadResult) countCause(body []byte) {
	var response searchResponse
	if json.Unmarshal(body, &response) != nil || len(response.Shards.Failures) == 0 {
		r.Causes[unknownCause]++
		return
	}
	r.Causes[strings.TrimPrefix(response.Shards.Failures[0].Reason.Reason, causePrefix)]++
}

// hasUnexplainedGap reports whether a requested record is neither among the ids nor in a range that is reported as
// missing.
func hasUnexplainedGap(records []emulator.Record, requested []shardmap.Range, ids []string, missing []shardmap.Range) bool {
	returned := map[string]bool{}
	for _, id := range ids {
		returned[id] = true
	}
	for _, keys := range requested {
		for _, record := range records {
			if keys.Contains(record.Key) && !returned[record.ID] && !containsKey(missing, record.Key) {
				return true
			}
		}
	}
	return false
}

func containsKey(ranges []shardmap.Range, key uint64) bool {
	for _, keys := range ranges {
		if keys.Contains(key) {
			return true
		}
	}
	return false
}
