// Package handover lets the processes of one coordinator that run at the same time,
// while one version takes over from another, keep to one set of limits together.
package handover

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"

	"linkpass/internal/eventlog"
)

// Share is the part of the limits that a process may use.
type Share struct {
	Processes int // that run; each has its equal part of memory and descriptors
	MaxOpen   int // queries and parts that this one may hold
}

// Group is a process's place among those that run.
type Group struct {
	path  string
	open  int // what all of them may hold together
	share func(Share)

	mu        sync.Mutex
	ln        net.Listener
	leader    net.Conn
	followers map[net.Conn]bool
	retained  int // by an eldest that leaves; below 0: it stays
	closed    bool
	wg        sync.WaitGroup
}

// Join takes a place among the processes of a name that use a directory, and tells the
// share. It is told anew, from another goroutine, whenever it changes.
func Join(dir, name string, open int, share func(Share)) (*Group, error) {
	p := &Group{path: filepath.Join(dir, "linkpass-"+filepath.Base(name)+".sock"), open: open, share: share,
		followers: map[net.Conn]bool{}, retained: -1}
	return p, p.claim()
}

// claim finds the eldest, or becomes it.
func (p *Group) claim() error {
	// Guards two that start at once: the second finds the first listening.
	lock, err := os.OpenFile(p.path+".lock", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	defer lock.Close()
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil
	}
	if nc, err := net.Dial("unix", p.path); err == nil {
		p.leader = nc
		p.share(Share{2, p.open / 2}) // until it has told
		p.wg.Go(func() { p.listen(nc) })
		return nil
	}
	// What a process that crashed left behind stands in nobody's way.
	if err := os.Remove(p.path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("handover: %w", err)
	}
	if p.ln, err = net.Listen("unix", p.path); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	p.leader = nil
	p.share(Share{1, p.open})
	p.wg.Go(func() { p.accept(p.ln) })
	return nil
}

// listen takes what the eldest tells, until it has gone.
func (p *Group) listen(nc net.Conn) {
	for r := bufio.NewReader(nc); ; {
		line, err := r.ReadString('\n')
		if err != nil {
			break
		}
		var s Share
		if _, err := fmt.Sscanf(line, "processes=%d open=%d\n", &s.Processes, &s.MaxOpen); err != nil || s.Processes < 2 || s.MaxOpen < 0 {
			eventlog.HandoverMessageInvalid.Log(line)
			break
		}
		p.share(s)
	}
	_ = nc.Close()
	if err := p.claim(); err != nil {
		eventlog.HandoverFailed.Log(err)
	}
}

// accept takes younger processes in until the listener is closed.
func (p *Group) accept(ln net.Listener) {
	for {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		p.change(func() { p.followers[nc] = true })
		p.wg.Go(func() {
			_, _ = bufio.NewReader(nc).ReadByte() // nothing comes before its end
			p.change(func() { delete(p.followers, nc) })
			_ = nc.Close()
		})
	}
}

// change applies a change and tells all their share: this one first, which may have
// to make room for the others.
func (p *Group) change(apply func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	apply()
	n := len(p.followers) + 1
	mine, theirs := p.open/n, p.open/n
	if p.retained >= 0 && n > 1 && p.open > 0 { // 0 is no bound
		mine, theirs = max(1, p.retained), max(1, (p.open-p.retained)/(n-1))
	}
	if !p.closed {
		p.share(Share{n, mine})
	}
	for nc := range p.followers {
		_, _ = fmt.Fprintf(nc, "processes=%d open=%d\n", n, theirs) // its end shows where it is read
	}
}

// Retire says that this process takes nothing more and still holds so much.
func (p *Group) Retire(holds int) { p.change(func() { p.retained = holds }) }

// Close gives the place up, and waits for all that it started.
func (p *Group) Close() {
	p.mu.Lock()
	p.closed = true
	if p.ln != nil {
		_ = p.ln.Close() // takes its file away
	}
	if p.leader != nil {
		_ = p.leader.Close()
	}
	for nc := range p.followers {
		_ = nc.Close()
	}
	p.mu.Unlock()
	p.wg.Wait()
}
