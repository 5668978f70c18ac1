package store

import (
	"fmt"
	"path/filepath"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
	"go.etcd.io/bbolt"
)

const (
	logFile           = "raft.db" // the log, the terms and the boot count
	retainedSnapshots = 2         // snapshots kept on disk; older ones are deleted
)

// openLog opens the log and the stable store, which share one file. Nil options mean the library's defaults.
func openLog(dir string, options *bbolt.Options) (*raftboltdb.BoltStore, error) {
	return raftboltdb.New(raftboltdb.Options{Path: filepath.Join(dir, logFile), BoltOptions: options})
}

// openSnapshots opens the snapshots in a data directory.
func openSnapshots(dir string, logger hclog.Logger) (*raft.FileSnapshotStore, error) {
	snapshots, err := raft.NewFileSnapshotStoreWithLogger(dir, retainedSnapshots, logger)
	if err != nil {
		return nil, fmt.Errorf("store: open snapshots: %w", err)
	}
	return snapshots, nil
}
