package endpoints

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"linkpass/internal/config"
	"linkpass/internal/config/restriction"
	"linkpass/internal/coordinator"
	"linkpass/internal/metrics"
	"linkpass/internal/searchconfig"
)

// Guards against a drain that is accepted at an instance that joined the store while it ran, and that reaches nobody: a
// follower does not propose, and a peer that is not in its file has to be broadcast to as soon as it is known, until it
// leaves.
func TestDrainReachesJoinedPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		received := map[Peer]int{}
		var peers atomic.Pointer[[]Peer]
		peers.Store(&[]Peer{})
		r := New(Config{
			InstanceID:  "n3",
			Incarnation: 1,
			OnUpdate:    func(coordinator.EndpointUpdate) {},
			Counters:    metrics.NewCounters(),
			JoinedPeers: func() []Peer { return *peers.Load() },
			BroadcastTo: func(peer Peer) BroadcastFunc {
				return func(_ context.Context, requests []restriction.Request) error {
					mu.Lock()
					defer mu.Unlock()
					received[peer] += len(requests)
					return nil
				}
			},
		})
		state, _ := config.NewState(&searchconfig.Config{}).Apply(config.Command{Kind: config.ReplaceSettings, Payload: []byte(`{}`)})
		r.Attach(&stateLog{state})
		ctx, stop := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { r.Run(ctx) })
		if _, err := r.Restrict("s1", restriction.Draining, false); err != nil {
			t.Fatal(err)
		}
		n1, n2 := Peer{"n1", "10.0.0.1:9200"}, Peer{"n2", "10.0.0.2:9200"}
		peers.Store(&[]Peer{n1, n2})
		time.Sleep(2 * joinedPeersInterval)
		synctest.Wait()
		peers.Store(&[]Peer{n1})
		time.Sleep(2 * joinedPeersInterval)
		if _, err := r.Restrict("s2", restriction.Draining, false); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * joinedPeersInterval)
		stop()
		running.Wait()
		if received[n1] != 2 || received[n2] != 1 {
			t.Errorf("requests received = %v, want both at n1 and the first at n2, which has left", received)
		}
	})
}
