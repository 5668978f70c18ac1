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
	"strings"
	"sync"
	"time"
)

const (
	copyShare   = 0.2
	searchRate  = 110 // searches a second
	searchFor   = 45 * time.Second
	hitsOfPart  = 10
	bytesOfHits = 1200 // of a hit's record
)

// secondCopy has league servers that speak the search protocol. Some of their answers bring a second copy right behind,
// when nothing else waits on the connection. Each client looks whether the hits that it gets are of its own search.
func secondCopy(r *record, trouble bool) (held bool, err error) {
	share := 0.0
	if trouble {
		share = copyShare
	}
	var servers []*searchServer
	var list []listed
	var protocols strings.Builder
	for cell := range cellCount {
		for _, zone := range zones {
			s := newSearchServer(r, &searchServer{name: fmt.Sprintf("s-%d%s", cell, zone[:1]), zone: zone, cell: cell,
				work: 15 * time.Millisecond, hits: hitsOfPart, bytes: bytesOfHits, copies: share})
			servers = append(servers, s)
			list = append(list, listed{ID: s.name, Addr: s.addr(), Zone: zone, Kind: "std-2core", Cell: cell,
				State: "in_service", Weight: 1})
			fmt.Fprintf(&protocols, "[servers.%s]\nprotocol = \"search\"\n", s.name)
		}
	}
	n1, err := newCoordinator(r, "n1", 0, newAgent(r, "n1", list))
	if err != nil {
		return false, err
	}
	n1.operatorsFile = fmt.Sprintf("listen = %q\n[indices.players]\nclass = \"team-lookup\"\nslices = [0, 1, 2, 3]\n%s",
		n1.search, protocols.String())
	if _, err := n1.start(1, n1.agent.known(), n1.operator, nil); err != nil {
		return false, err
	}
	if err := awaitReady("http://"+n1.listen+"/health/ready", 15*time.Second); err != nil {
		return false, err
	}
	searchers := newSearchers(r, n1.search)
	ctx, cancel := context.WithTimeout(context.Background(), searchFor)
	defer cancel()
	searchers.run(ctx)
	n1.keepLog()
	answers, copies := int64(0), int64(0)
	for _, s := range servers {
		answers, copies = answers+s.answers.Load(), copies+s.copied.Load()
	}
	r.say("parts answered: %d, with a second copy: %d", answers, copies)
	r.say("searches answered: %v; with hits of another search: %d", searchers.counts, searchers.foreign)
	return searchers.foreign == 0, nil
}

// searchers are the clients of the search front.
type searchers struct {
	record *record
	addr   string
	http   *http.Client

	mu      sync.Mutex
	counts  map[string]int
	foreign int
}

func newSearchers(r *record, addr string) *searchers {
	return &searchers{record: r, addr: addr, counts: map[string]int{},
		http: &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

func (s *searchers) run(ctx context.Context) {
	var asking sync.WaitGroup
	defer asking.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(rand.ExpFloat64() / searchRate * float64(time.Second))):
		}
		asking.Go(s.search)
	}
}

// search makes one search for a name that nobody else searches for.
func (s *searchers) search() {
	name := fmt.Sprintf("player%016x", rand.Uint64())
	body := fmt.Sprintf(`{"query":{"match":{"name":%q}},"size":40}`, name)
	what, foreign := s.ask(name, []byte(body))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[what]++
	if foreign != "" {
		s.foreign++
		s.record.note("broken: the search for %s got %s", name, foreign)
	}
}

// ask returns how a search was answered, and a hit that is not of that search.
func (s *searchers) ask(name string, body []byte) (what, foreign string) {
	res, err := s.http.Post("http://"+s.addr+"/players/_search", "application/json", bytes.NewReader(body))
	if err != nil {
		return "no answer", ""
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil || res.StatusCode != 200 {
		return fmt.Sprintf("%d %v", res.StatusCode, err), ""
	}
	var answer struct {
		Shards struct {
			Failed int `json:"failed"`
		} `json:"_shards"`
		Hits struct {
			Hits []struct {
				ID string `json:"_id"`
			} `json:"hits"`
		} `json:"hits"`
	}
	if err := json.Unmarshal(text, &answer); err != nil {
		return "200 unreadable", ""
	}
	for _, hit := range answer.Hits.Hits {
		if !strings.HasPrefix(hit.ID, name+"-") {
			return fmt.Sprintf("200, %d shards failed, foreign hits", answer.Shards.Failed), hit.ID
		}
	}
	return fmt.Sprintf("200, %d shards failed", answer.Shards.Failed), ""
}
