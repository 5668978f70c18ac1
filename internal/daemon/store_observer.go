package daemon

import (
	"context"
	"time"

	"linkpass/internal/eventlog"
	"linkpass/internal/lifecycle"
	"linkpass/internal/store"
)

const (
	// observeInterval is the time between two reads of the store's files. With it, a drain that the other process has
	// acknowledged is in force here well within the grace of a drain.
	observeInterval = 100 * time.Millisecond
	// firstReadLimit bounds the wait for the first read, so that this process is ready in the time that the platform
	// gives a new one.
	firstReadLimit = 3 * time.Second
)

// storeObserver follows the store while another process of this coordinator has it open: it reads the store's files, so
// that the drains, removals, weights and protocols in them are in force here before the first client is admitted. It
// needs nothing of the other process, which may be of an earlier version, hang or end at any time.
type storeObserver struct {
	*process
	settings *activeSettings
	registry *endpointRegistry
	store    *replicatedStore

	reader   *store.DiskReader // nil if this process opens the store at its start, or has none
	failures eventlog.RateLimited
}

func newStoreObserver(p *process, settings *activeSettings, registry *endpointRegistry, st *replicatedStore) *storeObserver {
	return &storeObserver{process: p, settings: settings, registry: registry, store: st}
}

func (o *storeObserver) component() lifecycle.Component {
	return lifecycle.Component{Name: "observer", DependsOn: []string{"endpoints"}, Start: o.start, Run: o.run}
}

// start reads the files for the first time. If that fails for firstReadLimit, the program starts without them, because a
// coordinator that is not ready in time serves nobody; run goes on reading.
func (o *storeObserver) start() error {
	if o.registry.registry == nil || !o.isSuccessor() {
		return nil
	}
	c := o.cfg.Search.Store
	c.InitialSettings = o.settings.fromFile.Load()
	o.reader = store.NewDiskReader(c)
	deadline := time.Now().Add(firstReadLimit)
	for {
		disk, err := o.read()
		if err == nil {
			o.apply(disk)
			return nil
		}
		if time.Now().After(deadline) {
			return nil
		}
		time.Sleep(observeInterval)
	}
}

// run reads the files until this process has the store open itself.
func (o *storeObserver) run(ctx context.Context) {
	if o.reader == nil {
		return
	}
	ticker := time.NewTicker(observeInterval)
	defer ticker.Stop()
	for o.store.get() == nil {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if disk, err := o.read(); err == nil {
			o.mu.Lock()
			o.apply(disk)
			o.mu.Unlock()
		}
	}
	o.reader = nil // with the state that it holds
}

// read returns what the files say, or an error, which it logs; nil if nothing was written since the last read.
func (o *storeObserver) read() (*store.DiskState, error) {
	disk, changed, err := o.reader.Read()
	if err != nil {
		o.failures.Log(eventlog.StoreUnreadable, err)
		return nil, err
	}
	if !changed {
		return nil, nil
	}
	return &disk, nil
}

// apply puts into force what the files say, unless this process has opened the store. The caller holds mu, as does the
// start of the component that opens the store.
func (o *storeObserver) apply(disk *store.DiskState) {
	if disk == nil || o.store.get() != nil {
		return
	}
	o.settings.setSource(disk.State.Settings)
	o.registry.registry.Observe(disk.State, disk.Pending, disk.Gone)
	eventlog.StoreObserved.Log(disk.State.Version(), len(disk.Pending))
}
