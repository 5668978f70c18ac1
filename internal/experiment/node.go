package experiment

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"time"

	"linkpass/internal/daemon"
)

const (
	readyTimeout      = 15 * time.Second
	readyPollInterval = 50 * time.Millisecond
)

// node is one coordinator of a world, in this process.
type node struct {
	program    *daemon.Program
	stop       context.CancelFunc // ends Serve
	done       chan error         // receives one value when Serve has returned; world.close waits for it
	searchAddr string
	adminAddr  string // address of the admin listener; empty if there is none
}

// nodeAddrs are the addresses (host:port) of a coordinator that the other coordinators use.
type nodeAddrs struct{ raft, search string }

// startNode writes the configuration files of coordinator i and starts it.
func (w *world) startNode(i int, addrs []nodeAddrs) (*node, error) {
	adminAddr := ""
	if w.adminListener {
		var err error
		if adminAddr, err = freeAddr(nodeHost(worldCount.Load(), i)); err != nil {
			return nil, err
		}
	}
	files, err := w.writeNodeFiles(i, addrs, adminAddr)
	if err != nil {
		return nil, err
	}
	cfg, err := files.load()
	if err != nil {
		return nil, fmt.Errorf("experiment: load the files of coordinator %d: %w", i, err)
	}
	program, err := daemon.Start(cfg)
	if err != nil {
		return nil, fmt.Errorf("experiment: start coordinator %d: %w", i, err)
	}
	ctx, stop := context.WithCancel(context.Background())
	n := &node{program: program, stop: stop, done: make(chan error, 1), searchAddr: addrs[i].search, adminAddr: adminAddr}
	go func() { n.done <- program.Serve(ctx, nil) }()
	return n, nil
}

// awaitReady waits until every coordinator is ready. It fails if that takes longer than readyTimeout in all.
func (w *world) awaitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for i, n := range w.nodes {
		for {
			err := w.checkReady(n)
			if err == nil {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("experiment: coordinator %d is not ready in time: %w", i, err)
			}
			time.Sleep(readyPollInterval)
		}
	}
	return nil
}

// checkReady returns a notReadyError unless a search of each index finds all shards and the leader answers.
func (w *world) checkReady(n *node) error {
	complete := true
	for _, c := range classes {
		status, body, err := w.call(n, "POST", "/"+c.index+"/_search", `{"size":1}`)
		complete = complete && err == nil && status == http.StatusOK && bytes.Contains(body, []byte(`"failed":0`))
	}
	status, _, err := w.call(n, "GET", pathClusterSettings, "")
	if complete && err == nil && status == http.StatusOK {
		return nil
	}
	return &notReadyError{complete, status, err}
}

// notReadyError says what a coordinator lacks to be ready.
type notReadyError struct {
	searchComplete bool  // a search of each index found all shards
	leaderStatus   int   // HTTP status of a call that the leader answers; 0 if there was no response
	cause          error // error of that call, or nil
}

func (e *notReadyError) Error() string {
	return fmt.Sprintf("search of all indices complete: %v, leader's status %d, error: %v", e.searchComplete, e.leaderStatus, e.cause)
}

func (e *notReadyError) Unwrap() error { return e.cause }
