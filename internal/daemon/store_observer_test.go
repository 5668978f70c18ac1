package daemon

import (
	"errors"
	"net"
	"slices"
	"testing"
	"time"

	"linkpass/internal/adminapi"
	"linkpass/internal/store"
)

// changeServer makes an operator's change at the testbed, once its store has a leader.
func (b *testbed) changeServer(action, server string) {
	b.t.Helper()
	for {
		_, err := b.p.ChangeServer(b.t.Context(), adminapi.ServerRequest{Action: action, Server: server})
		if err == nil {
			return
		}
		if !errors.Is(err, store.ErrNoLeader) {
			b.t.Fatalf("%s %s: %v", action, server, err)
		}
		time.Sleep(20 * time.Millisecond) // fewer calls than the store's limit on changes
	}
}

// receiversOf returns the servers that get parts of ten queries for a shard, each with the protocol of the part.
func (b *testbed) receiversOf(c *client, shard int) (receivers []string) {
	b.t.Helper()
	_, from := b.partsSince(0)
	for range 10 {
		if status, _ := b.query(c, "whole", 15*time.Second, shard); status != 200 {
			b.t.Errorf("query for shard %d: status = %d, want 200", shard, status)
		}
	}
	parts, _ := b.partsSince(from)
	for _, p := range parts {
		receivers = append(receivers, p.server+" "+p.protocol)
	}
	slices.Sort(receivers)
	return slices.Compact(receivers)
}

// awaitReceivers waits until the parts for a shard go to these servers alone.
func (b *testbed) awaitReceivers(c *client, shard int, want ...string) {
	b.t.Helper()
	waitUntil(b.t, "parts go to the wanted servers alone", func() bool { return slices.Equal(b.receiversOf(c, shard), want) })
}

// Guards against a new process that serves clients without the drains, removals and protocols of the store
// while another process has the store open: it knows them before its first client, follows those that come while both
// run, and keeps them when the other process has ended.
func TestSuccessorFollowsStoreOfOtherProcess(t *testing.T) {
	same, addr := sharedSocket(t)
	predecessor := newTestbed(t, 3, same)
	predecessor.awaitReady()
	predecessor.putSettings(`{"servers":{"s-2b":{"protocol":"search"}}}`)
	predecessor.changeServer("drain", "s-0a")
	predecessor.changeServer("remove", "s-1a")
	predecessor.changeServer("drain", "s-2a")

	searchConfig := predecessor.p.cfg.Search
	searchConfig.Store.Listener = nil
	successor := newTestbed(t, 3, same, func(c *Config) { c.Search = searchConfig })
	if successor.p.Store() != nil {
		t.Fatal("the successor has opened the store beside its predecessor")
	}
	successor.awaitReady()
	predecessor.p.fronts.listeners[0].Close() // so that the successor gets the clients
	c := connect(t, addr)
	for shard, want := range []string{"s-0b plain", "s-1b plain", "s-2b search"} {
		if got := successor.receiversOf(c, shard); !slices.Equal(got, []string{want}) {
			t.Errorf("parts for shard %d go to %v, want %s", shard, got, want)
		}
	}

	predecessor.changeServer("undrain", "s-0a")
	predecessor.changeServer("drain", "s-0b")
	successor.awaitReceivers(c, 0, "s-0a plain")
	predecessor.putSettings(`{"servers":{"s-1b":{"protocol":"search"}}}`)
	successor.awaitReceivers(c, 1, "s-1b search")

	predecessor.stop()
	waitUntil(t, "the successor opens the store", func() bool { return successor.p.Store() != nil })
	for shard, want := range []string{"s-0a plain", "s-1b search", "s-2b search"} {
		if got := successor.receiversOf(c, shard); !slices.Equal(got, []string{want}) {
			t.Errorf("with the store open, parts for shard %d go to %v, want %s", shard, got, want)
		}
	}
}

// Guards against a successor that never opens the store because the system had not released an address yet when its
// predecessor ended: the start is repeated, and the drains that were read from the files stay in force meanwhile.
func TestSuccessorOpensStoreOnceAddressIsFree(t *testing.T) {
	same, addr := sharedSocket(t)
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	predecessor := newTestbed(t, 3, same)
	predecessor.awaitReady()
	predecessor.changeServer("drain", "s-0a")
	searchConfig := predecessor.p.cfg.Search
	searchConfig.Store.Listener, searchConfig.Listen = nil, taken.Addr().String()
	successor := newTestbed(t, 3, same, func(c *Config) { c.Search = searchConfig })
	successor.awaitReady()
	predecessor.stop()
	waitUntil(t, "the successor is alone", func() bool {
		successor.p.mu.Lock()
		defer successor.p.mu.Unlock()
		return successor.p.share.Processes == 1
	})
	if got := successor.receiversOf(connect(t, addr), 0); !slices.Equal(got, []string{"s-0b plain"}) {
		t.Errorf("parts for shard 0 go to %v, want s-0b alone", got)
	}
	taken.Close()
	waitUntil(t, "the successor opens the store", func() bool { return successor.p.Store() != nil })
	successor.changeServer("undrain", "s-0a")
	successor.changeServer("drain", "s-0b")
	successor.awaitReceivers(connect(t, addr), 0, "s-0a plain")
}
