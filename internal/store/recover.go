package store

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"time"

	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
	"go.etcd.io/bbolt"

	"linkpass/internal/config"
	"linkpass/internal/eventlog"
	"linkpass/internal/searchconfig"
)

// ErrRecoveryRefused says that a recovery could lose or fork what others hold.
var ErrRecoveryRefused = errors.New("store: recovery refused")

const lockTimeout = time.Second // for the files of a store that may be open elsewhere

// RecoveryResult is what a recovery found and kept.
type RecoveryResult struct {
	Version uint64   `json:"version"` // of the state that holds from here on
	Hash    string   `json:"hash"`    // of it
	Dropped []string `json:"dropped"` // members that are no longer any
}

// Recover makes this instance, which must not run, the only member of its store, with what its own disk holds. It is for a
// majority that is lost for good: what the others had committed and this instance had not is lost with them. It is refused
// while another member takes a connection, unless forced: then two stores may go on apart.
func Recover(ctx context.Context, c Config, force bool) (r RecoveryResult, err error) {
	me, ok := c.member(c.ID)
	if !ok || c.Dir == "" {
		return r, fmt.Errorf("%w: %q is not among the members, or dir is missing", ErrRecoveryRefused, c.ID)
	}
	bolt, err := raftboltdb.New(raftboltdb.Options{Path: filepath.Join(c.Dir, "raft.db"), BoltOptions: &bbolt.Options{Timeout: lockTimeout}})
	if err != nil {
		return r, fmt.Errorf("%w: the log cannot be opened, does the instance still run? %w", ErrRecoveryRefused, err)
	}
	defer bolt.Close()
	logger := eventlog.RaftLogger()
	snaps, err := raft.NewFileSnapshotStoreWithLogger(c.Dir, retainedSnapshots, logger)
	if err != nil {
		return r, fmt.Errorf("store: snapshots: %w", err)
	}
	if some, err := raft.HasExistingState(bolt, bolt, snaps); err != nil || !some {
		return r, errors.Join(fmt.Errorf("%w: there is no state in %s", ErrRecoveryRefused, c.Dir), err)
	}
	_, transport := raft.NewInmemTransport(raft.ServerAddress(me.Raft)) // nothing is sent
	rc := raft.DefaultConfig()
	rc.LocalID, rc.Logger = raft.ServerID(c.ID), logger
	members, err := raft.GetConfiguration(rc, &fsm{}, bolt, bolt, snaps, transport)
	if err != nil {
		return r, fmt.Errorf("store: members: %w", err)
	}
	var others []MemberStatus
	for _, v := range members.Servers {
		if string(v.ID) != c.ID {
			others = append(others, MemberStatus{Member: Member{ID: string(v.ID), Raft: string(v.Address)}})
			r.Dropped = append(r.Dropped, string(v.ID))
		}
	}
	if n := (&Store{config: c}).alive(ctx, others); n > 0 && !force {
		return r, fmt.Errorf("%w: %d of the other members %v answer: let them elect a leader, or stop them", ErrRecoveryRefused, n, r.Dropped)
	}
	m := &fsm{}
	m.current.Store(config.NewState(&searchconfig.Config{}))
	only := raft.Configuration{Servers: []raft.Server{{ID: raft.ServerID(c.ID), Address: raft.ServerAddress(me.Raft)}}}
	if err := raft.RecoverCluster(rc, m, bolt, bolt, snaps, transport, only); err != nil {
		return r, fmt.Errorf("store: recovery: %w", err)
	}
	if why := m.halted.Load(); why != nil {
		return r, *why
	}
	r.Version = m.current.Load().Version()
	r.Hash, err = m.current.Load().Hash()
	return r, err
}
