package endpoints

import (
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"linkpass/internal/config"
	"linkpass/internal/config/restriction"
	"linkpass/internal/coordinator"
	"linkpass/internal/metrics"
	"linkpass/internal/routing"
	"linkpass/internal/searchconfig"
)

// diskLog is the ReplicatedLog of an instance that is not the leader, with a disk that may fail or hang.
type diskLog struct {
	followerLog
	disk *[]restriction.Request
	err  error
	hang chan struct{} // if not nil, a write waits until it is closed
}

func (l diskLog) SavePending(requests []restriction.Request) error {
	if l.hang != nil {
		<-l.hang
	}
	if l.err == nil {
		*l.disk = requests
	}
	return l.err
}

func (l diskLog) LoadPending() ([]restriction.Request, error) { return *l.disk, nil }

// startInstance returns the registry of an instance, and the states of the servers in its list.
func startInstance(incarnation uint64, log diskLog) (*Registry, map[string]routing.EndpointState) {
	states := map[string]routing.EndpointState{}
	r := New(Config{
		InstanceID:  "a",
		Incarnation: incarnation,
		Counters:    metrics.NewCounters(),
		OnUpdate: func(update coordinator.EndpointUpdate) {
			for _, e := range update.Endpoints {
				states[e.Name] = e.State
			}
		},
	})
	r.Attach(log)
	server := coordinator.Endpoint{Name: "s-1", Endpoint: routing.Endpoint{State: routing.Ready}}
	r.UpdateEndpoints(coordinator.EndpointUpdate{Mode: routing.UpdateFull, Endpoints: []coordinator.Endpoint{server}})
	return r, states
}

func newDiskLog() diskLog {
	state := config.NewState(&searchconfig.Config{})
	return diskLog{followerLog: followerLog{state}, disk: &[]restriction.Request{}}
}

// Guards against a drain that is lost with the process: no quorum has it, but it was acknowledged, to an operator or to
// another instance. It is on disk by then, and in force again after a restart until the log settles it.
func TestAcknowledgedRestrictionSurvivesRestart(t *testing.T) {
	for name, acknowledge := range map[string]func(*Registry) error{
		"issued": func(r *Registry) error {
			_, err := r.Restrict("s-1", restriction.Draining, false)
			return err
		},
		"received": func(r *Registry) error { return r.ReceiveRestrictions("b", goldenRequests[:1]) },
	} {
		t.Run(name, func(t *testing.T) {
			log := newDiskLog()
			r, _ := startInstance(1, log)
			if err := acknowledge(r); err != nil {
				t.Fatal(err)
			}
			pending := r.PendingRestrictions()
			restarted, states := startInstance(2, log)
			if got := restarted.PendingRestrictions(); len(got) != 1 || !slices.Equal(got, pending) {
				t.Errorf("pending after the restart = %+v, want %+v", got, pending)
			}
			if states["s-1"] != routing.Draining {
				t.Errorf("state of s-1 after the restart = %s, want draining", states["s-1"])
			}
			log.state, _ = log.state.Apply(config.Command{Kind: config.ReplaceSettings, Payload: []byte("{}")})
			log.state, _ = log.state.Apply(config.Command{Kind: config.RestrictServer, Restriction: &pending[0]})
			settled, _ := startInstance(3, log)
			if got := settled.PendingRestrictions(); len(got) != 0 {
				t.Errorf("pending after the log has settled it = %+v, want none", got)
			}
		})
	}
}

// A restriction that can't be written is in force all the same, and its caller is told. A received one is not
// acknowledged until it is on disk, although it is pending already when it is sent again.
func TestRestrictionThatIsNotOnDiskIsNotAcknowledged(t *testing.T) {
	log := newDiskLog()
	log.err = errors.New("disk full")
	r, states := startInstance(1, log)
	if _, err := r.Restrict("s-1", restriction.Draining, false); !errors.Is(err, ErrNotOnDisk) {
		t.Errorf("Restrict: error = %v, want ErrNotOnDisk", err)
	}
	if states["s-1"] != routing.Draining {
		t.Errorf("state of s-1 = %s, want draining", states["s-1"])
	}
	for i := range 2 {
		if err := r.ReceiveRestrictions("b", goldenRequests); !errors.Is(err, ErrNotOnDisk) {
			t.Errorf("delivery %d: error = %v, want ErrNotOnDisk", i+1, err)
		}
	}
	if got := r.cfg.Counters.Get("restrictions_not_saved"); got != 3 {
		t.Errorf("restrictions_not_saved = %d, want 3", got)
	}
}

// A disk that hangs holds a caller up for saveTimeout at most, and the list of servers not at all.
func TestHangingDiskBoundsTheWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newDiskLog()
		log.hang = make(chan struct{})
		r, states := startInstance(1, log)
		began := time.Now()
		for range 2 {
			if _, err := r.Restrict("s-1", restriction.Draining, false); !errors.Is(err, ErrNotOnDisk) {
				t.Errorf("Restrict: error = %v, want ErrNotOnDisk", err)
			}
		}
		if took := time.Since(began); took > 2*saveTimeout {
			t.Errorf("two calls took %s, want at most %s", took, 2*saveTimeout)
		}
		if states["s-1"] != routing.Draining || len(r.PendingRestrictions()) != 2 {
			t.Errorf("state of s-1 = %s with pending %+v, want draining with 2", states["s-1"], r.PendingRestrictions())
		}
		close(log.hang)
	})
}

func (diskLog) SaveGone(GoneServers) error     { return nil }
func (diskLog) LoadGone() (GoneServers, error) { return nil, nil }
