//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// clients sends queries of class team-lookup to one coordinator at a steady rate.
type clients struct {
	r     *run
	name  string // of the coordinator, first part of the request ids
	addr  string
	slabs int

	stop                              chan struct{}
	running                           sync.WaitGroup
	served, refused, failed, unserved atomic.Int64
	count                             atomic.Int64
}

// startClients starts them. Like the front they skip a coordinator that has not said that it is ready since its start.
func (r *run) startClients(name, addr string, perSecond float64, slabs int, admitted func() bool) *clients {
	c := &clients{r: r, name: name, addr: addr, slabs: slabs, stop: make(chan struct{})}
	rng := rand.New(rand.NewPCG(7, uint64(len(name))))
	c.running.Go(func() {
		ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer ticker.Stop()
		for {
			select {
			case <-c.stop:
				return
			case <-ticker.C:
			}
			if !admitted() {
				continue
			}
			shards := rng.Perm(slabs)[:2+rng.IntN(3)]
			id := fmt.Sprintf("%s%014x", c.name, c.count.Add(1))
			c.running.Go(func() { c.ask(id, shards) })
		}
	})
	return c
}

func (c *clients) end() {
	close(c.stop)
	c.running.Wait()
	c.r.logf("clients of %s: served=%d refused=%d failed=%d no answer=%d",
		c.name, c.served.Load(), c.refused.Load(), c.failed.Load(), c.unserved.Load())
}

func (c *clients) ask(id string, shards []int) {
	var parts []string
	for _, s := range shards {
		parts = append(parts, fmt.Sprintf(`{"id":%d,"w":%.6f}`, s, 1/float64(len(shards))))
	}
	body := `{"parts":[` + strings.Join(parts, ",") + `],"expr":"c41e77d0"}`
	status, answer, err := call("POST", "http://"+c.addr+"/team-lookup", body,
		"X-Request-ID", id, "X-Priority-Class", "team-lookup", "X-Timeout-Ms", "2500")
	switch {
	case err != nil:
		c.unserved.Add(1)
		c.r.notef("%s: %s: no answer: %v", c.name, id, err)
	case status == 200:
		c.served.Add(1)
		for _, s := range shards {
			if !strings.Contains(string(answer), valueOf(fmt.Sprintf("%s.%d", id, s))) {
				c.r.notef("%s: %s: answer lacks shard %d: %s", c.name, id, s, answer)
			}
		}
	case status == 429 || status == 503:
		c.refused.Add(1)
		c.r.notef("%s: %s: refused %d", c.name, id, status)
	default:
		c.failed.Add(1)
		c.r.notef("%s: %s: failed %d", c.name, id, status)
	}
}
