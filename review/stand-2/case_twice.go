//go:build review2

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	failShare = 0.8 // of the parts of a failing league server
	failFor   = 15 * time.Second
	askRate   = 25 // searches a second
	retries   = 2  // of a client
)

// refusedAfterItRan has searches of a class of which no part may run twice. One league server fails most of its parts
// after it has run them. Clients repeat what was refused, and nothing else.
func refusedAfterItRan(r *record, trouble bool) (held bool, err error) {
	var servers []*searchServer
	var list []listed
	var protocols strings.Builder
	for cell := range cellCount {
		for _, zone := range zones {
			s := newSearchServer(r, &searchServer{name: fmt.Sprintf("s-%d%s", cell, zone[:1]), zone: zone, cell: cell,
				work: 30 * time.Millisecond, hits: 1, bytes: 100})
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
	n1.singleShot = true
	n1.operatorsFile = fmt.Sprintf("listen = %q\n[indices.ports]\nclass = \"port-request\"\nslices = [0, 1, 2, 3, 4, 5]\n%s",
		n1.search, protocols.String())
	if _, err := n1.start(1, n1.agent.known(), n1.operator, nil); err != nil {
		return false, err
	}
	if err := awaitReady("http://"+n1.listen+"/health/ready", 15*time.Second); err != nil {
		return false, err
	}
	askers := &portClients{record: r, addr: n1.search, counts: map[string]int{},
		http: &http.Client{Timeout: 8 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	ctx, cancel := context.WithTimeout(context.Background(), failFor+6*time.Second)
	defer cancel()
	if trouble {
		time.AfterFunc(2*time.Second, func() {
			r.say("%s fails %.0f%% of its parts", servers[0].name, 100*failShare)
			servers[0].setFailing(failShare)
		})
		time.AfterFunc(2*time.Second+failFor, func() { servers[0].setFailing(0) })
	}
	askers.run(ctx)
	n1.keepLog()
	twice := 0
	runs := map[string]int{}
	for _, s := range servers {
		for name, n := range s.runs() {
			runs[name] += n
		}
	}
	for name, n := range runs {
		if n > 1 {
			twice++
			r.note("broken: %s has run %d times", name, n)
		}
	}
	r.say("requests: %d, answers to their tries: %v", len(runs), askers.counts)
	r.say("requests that ran more than once: %d", twice)
	return twice == 0, nil
}

// portClients ask requests that may not run twice. They repeat one only after it was refused (429 or 503).
type portClients struct {
	record *record
	addr   string
	http   *http.Client

	mu     sync.Mutex
	counts map[string]int
}

func (p *portClients) run(ctx context.Context) {
	var asking sync.WaitGroup
	defer asking.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(rand.ExpFloat64() / askRate * float64(time.Second))):
		}
		asking.Go(func() {
			name := fmt.Sprintf("order%016x", rand.Uint64())
			for try := 0; ; try++ {
				status := p.ask(name, rand.IntN(shardCount))
				if status != 429 && status != 503 || try == retries {
					return
				}
				time.Sleep(time.Duration(50+rand.IntN(350)) * time.Millisecond)
			}
		})
	}
}

// ask makes one try, at one slice, and returns its status; 0 if there was none.
func (p *portClients) ask(name string, shard int) int {
	body := fmt.Sprintf(`{"query":{"match":{"name":%q}}}`, name)
	status, text := 0, []byte{}
	res, err := p.http.Post(fmt.Sprintf("http://%s/ports/_search?preference=_shards:%d", p.addr, shard), "application/json",
		bytes.NewReader([]byte(body)))
	if err == nil {
		status = res.StatusCode
		text, _ = io.ReadAll(res.Body)
		_ = res.Body.Close()
	}
	p.mu.Lock()
	p.counts[strconv.Itoa(status)]++
	p.mu.Unlock()
	p.record.note("client asked %s, answered %d %v %.300s", name, status, err, text)
	return status
}
