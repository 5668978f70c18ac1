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
	lostTolerance = 100 * time.Millisecond // an answer that comes later after its query's timeout is lost
	maxLatencyUS  = 20_000_000             // of a histogram
	latencyDigits = 3                      // of a histogram

	unknownCause   = "untold"
	outcomeInCause = "the latest attempt ended as "
)

// loadResult counts the results of a run's queries.
type loadResult struct {
	mu sync.Mutex // guards all of it while queries run

	Queries, Complete, Partial, Rejected, Failed int

	Lost            int // no answer in time
	FalselyComplete int // claimed complete, but were not
	Duplicates      int // duplicate or unrequested records
	Unexplained     int // partial answers that lack a record without saying so

	OfferedWeight float64        // priority weight of all queries
	ServedWeight  float64        // of complete answers, with the late value after the latency objective
	Causes        map[string]int // outcomes of the first missing range of each answer that is not complete
	latency       []*hdrhistogram.Histogram
}

func newLoadResult() *loadResult {
	r := &loadResult{Causes: map[string]int{}}
	for range classes {
		r.latency = append(r.latency, newLatencyHistogram())
	}
	return r
}

// newLatencyHistogram counts latencies in microseconds.
func newLatencyHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyUS, latencyDigits)
}

// percentileMS is a percentile, from 0 to 100, of a histogram in milliseconds.
func percentileMS(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtQuantile(percentile)) / 1000
}

// service is the weight served over the weight offered, from 0 to 1.
func (r *loadResult) service() float64 { return r.ServedWeight / max(1e-9, r.OfferedWeight) }

// runQueries sends each query at its time, to the coordinators in turn, and waits for the answers.
func (w *world) runQueries(queries []query, result *loadResult) {
	begin := time.Now()
	var open sync.WaitGroup
	for i, q := range queries {
		time.Sleep(time.Until(begin.Add(q.at)))
		n := w.nodes[i%len(w.nodes)]
		open.Go(func() { w.runQuery(n, q, result) })
	}
	open.Wait()
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

// countAnswer compares an answer with the records that exist. The caller holds the mutex.
func (r *loadResult) countAnswer(records []emulator.Record, q query, response *searchResponse, latency time.Duration, body []byte) {
	ids := response.ids()
	check := emulator.CheckAnswer(records, q.requested, ids, response.claimsComplete())
	r.Duplicates += check.Duplicates + check.Unrequested
	switch {
	case check.ClaimedComplete && !check.Complete:
		r.FalselyComplete++
	case !check.ClaimedComplete:
		r.Partial++
		if lacksUnexplained(records, q.requested, ids, response.missingRanges()) {
			r.Unexplained++
		}
		r.countCause(body)
	default:
		r.Complete++
		r.ServedWeight += servedWeight(classes[q.class], latency)
	}
}

// servedWeight is the priority weight of a complete answer.
func servedWeight(c class, latency time.Duration) float64 {
	if latency <= c.latencyObjective {
		return c.priorityWeight
	}
	return c.priorityWeight * c.lateValue
}

// countCause counts the outcome of the first missing range. The caller holds the mutex.
func (r *loadResult) countCause(body []byte) {
	var response searchResponse
	if json.Unmarshal(body, &response) != nil || len(response.Shards.Failures) == 0 {
		r.Causes[unknownCause]++
		return
	}
	r.Causes[strings.TrimPrefix(response.Shards.Failures[0].Reason.Reason, outcomeInCause)]++
}

// lacksUnexplained says whether a requested record is neither among the ids nor in a range that is said to be missing.
func lacksUnexplained(records []emulator.Record, requested []shardmap.Range, ids []string, missing []shardmap.Range) bool {
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
