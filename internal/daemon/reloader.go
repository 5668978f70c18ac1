package daemon

import (
	"context"
	"errors"
	"os"
	"slices"
	"strings"
	"sync"

	"linkpass/internal/adminapi"
	"linkpass/internal/adminapi/signature"
	"linkpass/internal/eventlog"
	"linkpass/internal/schema"
)

// errStopping is the error of a reload during shutdown.
var errStopping = errors.New("the program is shutting down")

// reloader reads the platform's configuration and the operators' file again while the program runs.
type reloader struct {
	*process
	limits    *limitsShare
	bodies    *bodyStore
	shards    *shardMaps
	settings  *activeSettings
	discovery *discoveryWatcher
	api       *adminAPI

	reloading sync.Mutex    // held during a reload, so that there is one at a time
	requested chan struct{} // receives a value when the configuration is to be read again; has room for one
}

// request makes run reload. It does not wait for the reload: files may be slow, and SIGTERM may come meanwhile.
func (r *reloader) request() {
	select {
	case r.requested <- struct{}{}:
	default: // a reload is due already, and will read the files as they are then
	}
}

// run reloads on each request until the context ends.
func (r *reloader) run(ctx context.Context) {
	for {
		select {
		case <-r.requested:
			_, _ = r.reload() // it logs the outcome
		case <-ctx.Done():
			return
		}
	}
}

// reload reads all files again, and reports which keys are applied and which need a restart. If a file can't be used,
// it changes nothing and returns the error: a coordinator must not end because of such a file.
func (r *reloader) reload() (adminapi.ReloadResult, error) {
	r.reloading.Lock()
	defer r.reloading.Unlock()
	next, ring, err := r.read()
	if err != nil {
		r.counters.Add("config_invalid", 1)
		eventlog.ConfigReloadFailed.Log(err)
		return adminapi.ReloadResult{}, err
	}
	r.mu.Lock()
	if r.stopping {
		r.mu.Unlock()
		return adminapi.ReloadResult{}, errStopping
	}
	r.cfg.memoryMB = next.memoryMB
	r.limits.limitMemory()
	result := r.applySearch(&next.Search)
	// The environment is that of the start, so only the file can change the address.
	moved := next.fileDiscovery != "" && next.fileDiscovery != r.cfg.fileDiscovery
	r.cfg.fileDiscovery = next.fileDiscovery
	r.mu.Unlock()
	if moved {
		r.discovery.watcher.SetAddress(next.fileDiscovery)
	}
	if ring != nil {
		r.api.keys.set(ring)
		eventlog.KeysLoaded.Log(len(ring))
	}
	r.counters.Add("config_reloaded", 1)
	eventlog.ConfigReloaded.Log(next.fileDiscovery, strings.Join(result.Applied, ","),
		strings.Join(result.NeedsRestart, ","))
	return result, nil
}

// read reads all files and validates them. ring is nil if the keys are not in use.
func (r *reloader) read() (next Config, ring signature.KeyRing, err error) {
	env := r.cfg.env
	if env == nil {
		env = os.Getenv
	}
	if next, err = Load(env); err != nil {
		return next, nil, err
	}
	r.mu.Lock()
	running := r.cfg.Search
	r.mu.Unlock()
	next.Search = running
	if running.path != "" {
		if next.Search, err = LoadSearchConfig(running.path); err != nil {
			return next, nil, err
		}
	}
	if _, err = next.Search.Bodies.limits(next.memoryMB, r.cfg.programSettings.Classes); err != nil {
		return next, nil, err
	}
	if running.Operator.Listen != "" && next.Search.Operator.Keys != "" {
		ring, err = ReadKeyRing(next.Search.Operator.Keys)
	}
	return next, ring, err
}

// applySearch applies the keys of a new operators' file that can be applied without a restart, and reports how it
// treats each changed key. The caller holds mu.
func (r *reloader) applySearch(next *SearchConfig) (result adminapi.ReloadResult) {
	running := &r.cfg.Search
	needsRestart := running.needsRestart(next)
	for _, c := range Keys.Changes(running.values, next.values) {
		switch {
		case running.Store.ID != "" && isReplicated(c.Key):
			result.Replicated = append(result.Replicated, c.Key)
		case !c.Reloadable || needsRestart(c.Key):
			result.NeedsRestart = append(result.NeedsRestart, c.Key)
		default:
			result.Applied = append(result.Applied, c.Key)
		}
	}
	// A key that needs a restart keeps its running value, so the next reload reports it again.
	applied := func(v schema.Value) bool { return slices.Contains(result.Applied, v.Name) }
	values := slices.DeleteFunc(slices.Clone(running.values), applied)
	for _, v := range next.values {
		if applied(v) {
			values = append(values, v)
		}
	}
	running.values = values
	r.apply(next)
	return result
}

// apply passes the applied keys to the components that use them. The caller holds mu.
func (r *reloader) apply(next *SearchConfig) {
	running := &r.cfg.Search
	replan := running.Reshape.Replan
	running.Reshape = next.Reshape
	running.Reshape.Replan = replan
	running.Log.Level, running.Log.Levels = next.Log.Level, next.Log.Levels
	running.Operator.Keys = next.Operator.Keys
	r.shards.applyLimits(running.Reshape)
	running.Bodies.MemoryKiB = next.Bodies.MemoryKiB
	if !running.needsRestart(next)("bodies.files_kib") {
		running.Bodies.FilesKiB = next.Bodies.FilesKiB
	}
	// An error is ignored: the limits were validated when the file was read.
	if limits, err := running.Bodies.limits(r.cfg.memoryMB, r.cfg.programSettings.Classes); err == nil {
		r.bodies.setTotalLimits(limits)
	}
	if running.path != "" {
		running.Log.applyLevels()
	}
	if running.Store.ID == "" {
		r.applySettings(next)
	}
}

// applySettings makes the file's search settings take effect; it is called only if there is no store. The caller holds
// mu.
func (r *reloader) applySettings(next *SearchConfig) {
	c, err := mergeSearchConfig(r.settings.fromFile.Load(), &next.Config)
	if err != nil { // ignored: the settings were validated when the file was read
		return
	}
	r.cfg.Search.Config = *c
	r.settings.fromFile.Store(c)
	if r.cfg.Search.Listen != "" {
		r.shards.publisher.publish(c)
	}
}
