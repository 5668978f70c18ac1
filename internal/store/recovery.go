package store

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/hashicorp/raft"
	"go.etcd.io/bbolt"

	"linkpass/internal/eventlog"
	"linkpass/internal/searchconfig"
)

// ErrRecoveryRefused is the error of a recovery that could lose state, or leave two stores that diverge.
var ErrRecoveryRefused = errors.New("store: recovery refused")

// lockTimeout bounds the wait for the lock on the log's file, which the instance holds while it is running.
const lockTimeout = time.Second

// RecoveryResult describes the state and the membership after a recovery.
type RecoveryResult struct {
	Version uint64   `json:"version"` // of the recovered state
	Hash    string   `json:"hash"`    // of the recovered state
	Dropped []string `json:"dropped"` // ids of the members that were removed
}

// Recover makes this instance, which must not be running, the only member of its store, with the state on its own
// disk. It is meant for a quorum that is permanently lost: entries that the other members committed and this instance
// does not have are lost. It returns ErrRecoveryRefused while another member accepts connections, unless force is set;
// a forced recovery can leave two stores that diverge. If the context ends before the membership is rewritten, the
// files are not changed.
func Recover(ctx context.Context, c Config, force bool) (RecoveryResult, error) {
	self, ok := c.member(c.ID)
	if !ok || c.Dir == "" {
		return RecoveryResult{}, fmt.Errorf("%w: instance %q is not among the members, or dir is missing",
			ErrRecoveryRefused, c.ID)
	}
	bolt, err := openLog(c.Dir, &bbolt.Options{Timeout: lockTimeout})
	if err != nil {
		return RecoveryResult{}, fmt.Errorf("%w: the log cannot be opened, is the instance still running? %w",
			ErrRecoveryRefused, err)
	}
	defer bolt.Close()
	logger := eventlog.RaftLogger()
	snapshots, err := openSnapshots(c.Dir, logger)
	if err != nil {
		return RecoveryResult{}, err
	}
	_, transport := raft.NewInmemTransport(raft.ServerAddress(self.Raft)) // sends nothing
	r := recovery{
		config:    baseRaftConfig(c.ID, logger),
		self:      self,
		log:       bolt,
		stable:    bolt,
		snapshots: snapshots,
		transport: transport,
	}
	return r.run(ctx, c.Dir, force)
}

// recovery holds the opened files of an instance that is recovered.
type recovery struct {
	config    *raft.Config
	self      Member
	log       raft.LogStore
	stable    raft.StableStore
	snapshots raft.SnapshotStore
	transport raft.Transport
}

// run rewrites the membership, after it has checked that this is safe or forced.
func (r *recovery) run(ctx context.Context, dir string, force bool) (RecoveryResult, error) {
	existing, err := raft.HasExistingState(r.log, r.stable, r.snapshots)
	if err != nil || !existing {
		return RecoveryResult{}, errors.Join(fmt.Errorf("%w: there is no state in %s", ErrRecoveryRefused, dir), err)
	}
	others, err := r.otherMembers()
	if err != nil {
		return RecoveryResult{}, err
	}
	var result RecoveryResult
	for _, m := range others {
		result.Dropped = append(result.Dropped, m.ID)
	}
	reachable := countReachable(ctx, r.self.ID, others)
	if err := checkContext(ctx, "recover instance "+r.self.ID); err != nil {
		return result, err // members may have counted as unreachable only because the context ended
	}
	if reachable > 0 && !force {
		return result, fmt.Errorf("%w: %d of the other members %v are reachable: let them elect a leader, or stop them",
			ErrRecoveryRefused, reachable, result.Dropped)
	}
	recovered, err := r.rewriteMembership()
	if err != nil {
		return result, err
	}
	state := recovered.current.Load()
	result.Version = state.Version()
	result.Hash, err = state.Hash()
	return result, err
}

// otherMembers returns the members of Raft's configuration on disk, without this instance.
func (r *recovery) otherMembers() ([]MemberStatus, error) {
	replayed := newFSM(&searchconfig.Config{}) // discarded, because only the membership is needed
	members, err := raft.GetConfiguration(r.config, replayed, r.log, r.stable, r.snapshots, r.transport)
	if err != nil {
		return nil, fmt.Errorf("store: read members: %w", err)
	}
	var others []MemberStatus
	for _, server := range members.Servers {
		if string(server.ID) != r.self.ID {
			others = append(others, memberStatus(server))
		}
	}
	return others, nil
}

// rewriteMembership makes this instance the only voter, and returns an FSM with the recovered state.
func (r *recovery) rewriteMembership() (*fsm, error) {
	recovered := newFSM(&searchconfig.Config{})
	only := raft.Configuration{Servers: []raft.Server{{
		ID:      raft.ServerID(r.self.ID),
		Address: raft.ServerAddress(r.self.Raft),
	}}}
	err := raft.RecoverCluster(r.config, recovered, r.log, r.stable, r.snapshots, r.transport, only)
	if err != nil {
		return nil, fmt.Errorf("store: recover cluster: %w", err)
	}
	if err := raiseTerm(r.stable, time.Now()); err != nil {
		return nil, err
	}
	if err := recovered.haltedErr(); err != nil {
		return nil, err
	}
	return recovered, nil
}
