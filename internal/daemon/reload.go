package daemon

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"linkpass/internal/adminapi"
	"linkpass/internal/adminapi/signature"
	"linkpass/internal/eventlog"
	"linkpass/internal/schema"
	"linkpass/internal/searchconfig"
)

var errOver = errors.New("the program is about to end")

// Reload reads the platform's configuration and the operators' file again while the program runs, and tells which keys
// have taken hold and which wait for a start. A file that can't be used changes nothing: a coordinator must not end
// over it.
func (p *Program) Reload() (adminapi.ReloadResult, error) {
	p.reloading.Lock()
	defer p.reloading.Unlock()
	cfg, ring, err := p.readAgain()
	if err != nil {
		p.count.Add("config_invalid", 1)
		eventlog.ConfigReloadFailed.Log(err)
		return adminapi.ReloadResult{}, err
	}
	p.mu.Lock()
	if p.over {
		p.mu.Unlock()
		return adminapi.ReloadResult{}, errOver
	}
	p.cfg.memoryMB = cfg.memoryMB
	p.limitMemory()
	told := p.takeSearch(&cfg.Search)
	// The environment stays as it was at the start, so only the file can bring news.
	moved := cfg.fileDiscovery != "" && cfg.fileDiscovery != p.cfg.fileDiscovery
	p.cfg.fileDiscovery = cfg.fileDiscovery
	p.mu.Unlock()
	if moved {
		p.watcher.Move(cfg.fileDiscovery)
	}
	if ring != nil {
		p.keys.set(ring)
		eventlog.KeysLoaded.Log(len(ring))
	}
	p.count.Add("config_reloaded", 1)
	eventlog.ConfigReloaded.Log(cfg.fileDiscovery, strings.Join(told.Applied, ","), strings.Join(told.NeedsRestart, ","))
	return told, nil
}

// readAgain reads all files, and tells what is wrong with any.
func (p *Program) readAgain() (cfg Config, ring signature.Ring, err error) {
	env := p.cfg.env
	if env == nil {
		env = os.Getenv
	}
	if cfg, err = Load(env); err != nil {
		return cfg, nil, err
	}
	p.mu.Lock()
	running := p.cfg.Search
	p.mu.Unlock()
	cfg.Search = running
	if running.path != "" {
		if cfg.Search, err = LoadSearch(running.path); err != nil {
			return cfg, nil, err
		}
	}
	if _, err = cfg.Search.Bodies.limits(cfg.memoryMB, p.cfg.host.Classes); err != nil {
		return cfg, nil, err
	}
	if running.Operator.Listen != "" && cfg.Search.Operator.Keys != "" {
		ring, err = ReadKeys(cfg.Search.Operator.Keys)
	}
	return cfg, ring, err
}

// takeSearch lets those keys of a new operators' file take hold that can, and tells which. The lock is held.
func (p *Program) takeSearch(next *Search) (told adminapi.ReloadResult) {
	now := &p.cfg.Search
	waits := now.mustWait(next)
	var held []schema.Value
	for _, c := range Keys.Changes(now.values, next.values) {
		switch {
		case now.Store.ID != "" && replicated(c.Key):
			told.Replicated = append(told.Replicated, c.Key)
		case !c.Reloadable || waits(c.Key):
			told.NeedsRestart = append(told.NeedsRestart, c.Key)
		default:
			told.Applied = append(told.Applied, c.Key)
		}
	}
	// What waits stays as it runs, and is told again with the next reload.
	for _, v := range next.values {
		if slices.Contains(told.Applied, v.Name) {
			held = append(held, v)
		}
	}
	kept := slices.DeleteFunc(slices.Clone(now.values), func(v schema.Value) bool { return slices.Contains(told.Applied, v.Name) })
	now.values = append(kept, held...)
	p.pass(next)
	return told
}

// replicated tells whether a key is the store's to say, where there is one.
func replicated(key string) bool {
	section, _, _ := strings.Cut(key, ".")
	return section == "search" || section == "indices" || section == "servers"
}

// mustWait tells which live keys can't take hold after all: files for bodies that would have to come or go, and
// indices with a layout, whose versions only the store can move on.
func (c *Search) mustWait(next *Search) func(key string) bool {
	return func(key string) bool {
		if key == "bodies.files_kib" {
			return (c.Bodies.FilesKiB == 0) != (next.Bodies.FilesKiB == 0) || c.Bodies.Off
		}
		rest, ok := strings.CutPrefix(key, "indices.")
		name, _, _ := strings.Cut(rest, ".")
		return ok && (moving(c, name) || moving(next, name))
	}
}

// moving tells whether an index has a layout that can move.
func moving(s *Search, name string) bool {
	index := s.Indices[name]
	return index.ShardMap != nil || index.InitialSharding != nil
}

// pass hands on what has taken hold to those who work by it. The lock is held.
func (p *Program) pass(next *Search) {
	now := &p.cfg.Search
	replan := now.Reshape.Replan
	now.Reshape, now.Log.Level, now.Log.Levels, now.Operator.Keys = next.Reshape, next.Log.Level, next.Log.Levels, next.Operator.Keys
	now.Reshape.Replan = replan
	if p.steward != nil {
		limits, poll := now.Reshape.pace(p.longest())
		p.steward.SetLimits(limits, poll)
	}
	now.Bodies.MemoryKiB = next.Bodies.MemoryKiB
	if !now.mustWait(next)("bodies.files_kib") {
		now.Bodies.FilesKiB = next.Bodies.FilesKiB
	}
	if l, err := now.Bodies.limits(p.cfg.memoryMB, p.cfg.host.Classes); err == nil { // checked when it was read
		p.bodyLimits = l
		p.limitBodies()
	}
	if now.path != "" {
		now.Log.levels()
	}
	if now.Store.ID == "" {
		if c, err := merged(p.fixed.Load(), &next.Config); err == nil { // as above
			now.Config = *c
			p.fixed.Store(c)
			if p.layouts != nil && now.Listen != "" {
				p.layouts.take(c)
			}
		}
	}
}

// merged is a new catalog with the indices of the old one that can't be changed in service.
func merged(old, next *searchconfig.Config) (*searchconfig.Config, error) {
	c := searchconfig.Config{Search: next.Search, Servers: next.Servers, Indices: map[string]searchconfig.Index{}}
	fixed := func(i searchconfig.Index) bool { return i.ShardMap != nil || i.InitialSharding != nil }
	for name, index := range next.Indices {
		if !fixed(index) && !fixed(old.Indices[name]) {
			c.Indices[name] = index
		}
	}
	for name, index := range old.Indices {
		if fixed(index) {
			c.Indices[name] = index
		}
	}
	data, err := json.Marshal(&c)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return searchconfig.ParseUpdate(data, old)
}

// levels lets the levels hold.
func (l Log) levels() {
	level := l.Level
	if level == "" {
		level = Keys.MustKey("log.level").Default
	}
	_ = eventlog.SetLevel("all", level) // all of them were checked when the file was read
	if level != "error" && level != "off" {
		_ = eventlog.SetLevel("raft", "warn")
	}
	for part, level := range l.Levels {
		_ = eventlog.SetLevel(part, level)
	}
}

// Apply lets the log be written to w as the file says.
func (l Log) Apply(w io.Writer) {
	eventlog.SetOutput(w, l.Format == "json")
	l.levels()
}
