package daemon

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"linkpass/internal/bodies"
	"linkpass/internal/bodies/tier"
	"linkpass/internal/eventlog"
	"linkpass/internal/http1"
	"linkpass/internal/opensearch"
)

// Bodies says where bodies lie, as an operator's file says.
type Bodies struct {
	MemoryKiB  int64                `toml:"memory_kib"`   // of bodies in memory; an eighth of the limit on memory if missing
	LargestKiB int64                `toml:"largest_kib"`  // one above this does not stay in memory
	FilesKiB   int64                `toml:"files_kib"`    // of bodies in files; 0: there are none
	Dir        string               `toml:"dir"`          // of these files
	MaxKiB     int64                `toml:"max_body_kib"` // of a search's body
	Off        bool                 `toml:"off"`          // every body lies in memory until its query ends, without a bound
	Classes    map[string]ClassPart `toml:"classes"`
}

// ClassPart is what a class of queries may count on.
type ClassPart struct {
	FloorKiB int64   `toml:"floor_kib"` // that other classes cannot take from it
	Share    float64 `toml:"share"`     // of the memory that it may have at most; 0: all
}

const (
	memoryPart  = 8        // of the limit on memory one part in so many is for bodies
	memoryMost  = 2        // and it may not be made more than one in so many: the rest is the program's
	unlimited   = 64 << 20 // bytes: what is taken for the limit where there is none
	noRoomRetry = 500 * time.Millisecond
)

// check looks at the section alone.
func (b Bodies) check() error {
	if (b.FilesKiB > 0) != (b.Dir != "") {
		return errors.New("bodies: files_kib and dir go together")
	}
	floors := int64(0)
	for _, c := range b.Classes {
		floors += c.FloorKiB
	}
	if b.MemoryKiB > 0 && floors > b.MemoryKiB {
		return fmt.Errorf("bodies.classes: the floors add up to %d KiB, memory_kib is %d", floors, b.MemoryKiB)
	}
	return nil
}

// limits are the budgets of a process that has a limit on memory and serves classes.
func (b Bodies) limits(memoryMB int, classes []string) (tier.Limits, error) {
	limit := int64(memoryMB) << 20
	l := tier.Limits{Memory: b.MemoryKiB << 10, Files: b.FilesKiB << 10, Largest: Keys.Int("bodies.largest_kib", b.LargestKiB) << 10, Classes: make([]tier.Class, len(classes))}
	if l.Memory == 0 {
		l.Memory = cmp.Or(limit, unlimited) / memoryPart
	}
	if b.LargestKiB == 0 {
		l.Largest = min(l.Largest, l.Memory)
	}
	if limit > 0 && l.Memory > limit/memoryMost {
		return l, fmt.Errorf("bodies.memory_kib: %d KiB is more than half of the limit of %d MB", l.Memory>>10, memoryMB)
	}
	floors := int64(0)
	for name, c := range b.Classes {
		i := slices.Index(classes, name)
		if i < 0 {
			return l, fmt.Errorf("bodies.classes.%s: no such class", name)
		}
		l.Classes[i] = tier.Class{Floor: c.FloorKiB << 10, Share: c.Share}
		floors += c.FloorKiB << 10
	}
	if floors > l.Memory {
		return l, fmt.Errorf("bodies.classes: the floors add up to %d KiB, memory is %d KiB", floors>>10, l.Memory>>10)
	}
	return l, nil
}

// openBodies makes the store of bodies.
func (p *Program) openBodies() error {
	l, err := p.cfg.Search.Bodies.limits(p.cfg.memoryMB, p.cfg.host.Classes)
	if err != nil {
		return err
	}
	p.bodyLimits = l
	if p.cfg.Search.Bodies.Off {
		return nil
	}
	share := int64(max(1, p.share.Processes))
	mine := l
	mine.Memory, mine.Files = l.Memory/share, l.Files/share
	p.bodies = bodies.Open(bodies.Config{Limits: mine, Classes: p.cfg.host.Classes, Dir: p.cfg.Search.Bodies.Dir,
		Now: p.core.Now, Counters: p.count})
	return nil
}

// limitBodies keeps the store of bodies to this process's share. The lock is held.
func (p *Program) limitBodies() {
	if n := int64(max(1, p.share.Processes)); p.bodies != nil {
		p.bodies.Limit(p.bodyLimits.Memory/n, p.bodyLimits.Files/n)
	}
}

func (p *Program) closeBodies() error {
	p.printBodies()
	if p.bodies != nil {
		p.bodies.Close()
	}
	return nil
}

// retry is what a client is told whose body finds no room.
func (p *Program) retry() string {
	if !p.cfg.module.RetryAfter {
		return ""
	}
	return strconv.FormatFloat(min(noRoomRetry, p.cfg.module.MaxRetryAfter).Seconds(), 'f', 3, 64)
}

// spools takes the large bodies of searches into the store.
func (p *Program) spools(req *http1.Request) http1.Spool {
	index, rest, _ := strings.Cut(strings.TrimPrefix(req.Path, "/"), "/")
	where, ok := (*p.current.Load())().Indices[index]
	class := slices.Index(p.cfg.host.Classes, where.Class)
	if !ok || rest != "_search" || class < 0 {
		return nil // what is no search is small, or turned down
	}
	return &opensearch.Arriving{Writer: p.bodies.Arrive(class, p.cfg.module.Classes[class].Worth),
		Refused: &http1.Error{Status: 429, Reason: "no room for the search's body", RetryAfter: p.retry()}}
}

// printBodies logs what the store of bodies holds.
func (p *Program) printBodies() {
	if p.bodies == nil {
		return
	}
	f := p.bodies.Figures()
	eventlog.Bodies.Log(f.Bodies, f.Shared, f.ArrivingBodies, f.WaitingBodies, f.Memory, f.Files, f.Disk)
}
