package endpoints

import (
	"context"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"

	"linkpass/internal/config"
	"linkpass/internal/coordinator"
	"linkpass/internal/routing"
	"linkpass/internal/searchconfig"
)

// goneDisk is a ReplicatedLog that keeps the servers that are gone, as a disk does.
type goneDisk struct {
	*stateLog
	mu   sync.Mutex
	gone GoneServers
}

func (d *goneDisk) SaveGone(gone GoneServers) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.gone = gone
	return nil
}

func (d *goneDisk) LoadGone() (GoneServers, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.gone), nil
}

// Guards against work for a server that an operator added and that discovery told gone, at a process that starts after
// that: it stays out of service, also at a process that reads the files of another one, until discovery lists it again or
// an operator changes its address.
func TestGoneServerStaysOutAfterRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		state := applyAll(t, config.NewState(&searchconfig.Config{}),
			config.Command{Kind: config.ReplaceSettings, Payload: []byte(`{}`)},
			config.Command{Kind: config.AddServer, Server: "s4", Spec: &config.ServerSpec{Addr: "127.0.0.1:1"}})
		disk := &goneDisk{stateLog: &stateLog{state}}
		first := newInstance(state)
		first.Attach(disk)
		ctx, stop := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { first.Run(ctx) })
		delta := func(s routing.EndpointState) coordinator.EndpointUpdate {
			return coordinator.EndpointUpdate{Mode: routing.UpdateDelta, Endpoints: []coordinator.Endpoint{endpoint("s4", s, 1)}}
		}
		first.UpdateEndpoints(delta(routing.Ready))
		first.UpdateEndpoints(delta(routing.Removed))
		synctest.Wait()
		stop()
		running.Wait()

		gone, _ := disk.LoadGone()
		successor := newInstance(state)
		successor.Observe(state, nil, gone)
		restarted := newInstance(state)
		restarted.Attach(disk)
		for name, i := range map[string]*instance{"restarted": restarted, "successor": successor} {
			if got := slices.Sorted(maps.Keys(i.inForce())); slices.Contains(got, "s4") {
				t.Errorf("%s: servers in force = %v, want s4 out of service", name, got)
			}
		}
		successor.UpdateEndpoints(delta(routing.Ready))
		if _, listed := successor.inForce()["s4"]; !listed {
			t.Error("s4 stays out of service though discovery lists it again")
		}
		disk.state = applyAll(t, state, config.Command{Kind: config.UpdateServer, Server: "s4",
			Spec: &config.ServerSpec{Addr: "127.0.0.1:2"}})
		restarted.LogApplied()
		if _, listed := restarted.inForce()["s4"]; !listed {
			t.Error("s4 stays out of service though its address was changed")
		}
	})
}
