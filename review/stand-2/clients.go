//go:build review2

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// queryClass is a class of queries as clients ask it.
type queryClass struct {
	name   string
	parts  int
	timeMS int
}

var (
	teamLookup  = queryClass{"team-lookup", 4, 2500}
	leagueTable = queryClass{"league-table", 6, 5000}
)

// clientPool has the clients of one coordinator. They keep their connections, and open more when every one is busy.
type clientPool struct {
	record      *record
	coordinator *coordinator
	http        *http.Client
	count       atomic.Int64

	mu     sync.Mutex
	counts map[string]int // answers by what they were
	wrong  int            // answers with a value that no league server made
}

func newClientPool(r *record, c *coordinator) *clientPool {
	return &clientPool{record: r, coordinator: c, counts: map[string]int{},
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 20 * time.Second}}}
}

// newOnes returns a pool of clients that ask once: each query comes on a new connection.
func (p *clientPool) newOnes() *clientPool {
	out := newClientPool(p.record, p.coordinator)
	out.http.Transport = &http.Transport{DisableKeepAlives: true}
	return out
}

// run sends queries at a rate until the context ends, and waits for the answers.
func (p *clientPool) run(ctx context.Context, perSecond float64) {
	random := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 1))
	var asking sync.WaitGroup
	defer asking.Wait()
	for {
		wait := time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		class := teamLookup
		if random.Float64() < 0.16 {
			class = leagueTable
		}
		shards := random.Perm(shardCount)[:class.parts]
		asking.Go(func() { p.ask(class, shards) })
	}
}

// ask sends one query.
func (p *clientPool) ask(class queryClass, shards []int) {
	id := fmt.Sprintf("%s%013x%03x", p.coordinator.name, time.Now().UnixNano()>>8, p.count.Add(1)&0xfff)
	expr := fmt.Sprintf("%016x", rand.Uint64())
	type part struct {
		ID int     `json:"id"`
		W  float64 `json:"w"`
	}
	parts := make([]part, len(shards))
	for i, shard := range shards {
		parts[i] = part{shard, 1 / float64(len(shards))}
	}
	body, _ := json.Marshal(map[string]any{"parts": parts, "expr": expr})
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(class.timeMS+600)*time.Millisecond)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, "POST", "http://"+p.coordinator.listen+"/"+class.name, bytes.NewReader(body))
	req.Header.Set("X-Request-ID", id)
	req.Header.Set("X-Priority-Class", class.name)
	req.Header.Set("X-Timeout-Ms", strconv.Itoa(class.timeMS))
	began := time.Now()
	res, err := p.http.Do(req)
	if err != nil {
		p.ended(id, began, "no answer", err.Error())
		return
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		p.ended(id, began, "cut answer", err.Error())
		return
	}
	if res.StatusCode != 200 {
		p.ended(id, began, strconv.Itoa(res.StatusCode), "")
		return
	}
	var answer struct {
		Rows []struct {
			ID   int    `json:"id"`
			Data string `json:"data"`
		} `json:"rows"`
	}
	err = json.Unmarshal(text, &answer)
	for _, row := range answer.Rows {
		if row.Data != plainValue(expr, row.ID) {
			err = fmt.Errorf("shard %d has %q", row.ID, row.Data)
		}
	}
	if err != nil {
		p.mu.Lock()
		p.wrong++
		p.mu.Unlock()
		p.ended(id, began, "200 wrong", err.Error())
		return
	}
	p.ended(id, began, "200", "")
}

func (p *clientPool) ended(id string, began time.Time, what, detail string) {
	p.mu.Lock()
	p.counts[what]++
	p.mu.Unlock()
	p.record.note("client %s answered %s after %d ms %s", id, what, time.Since(began).Milliseconds(), detail)
}

// summary says how the queries were answered.
func (p *clientPool) summary() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.record.say("answers of %s: %v", p.coordinator.name, p.counts)
}
