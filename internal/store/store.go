// Package store replicates the catalog among a few instances with Raft, keeps
// it on disk, and serves it. Routing shares nothing through it.
package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
	"golang.org/x/time/rate"

	"linkpass/internal/config"
	"linkpass/internal/config/rollback"
	"linkpass/internal/eventlog"
	"linkpass/internal/searchconfig"
	"linkpass/internal/shardmap"
)

// Member is one instance of the store.
type Member struct {
	ID   string `toml:"id"`
	Raft string `toml:"raft"` // address of its Raft traffic
	HTTP string `toml:"http"` // address of its search front
}

// Config sets up one instance.
type Config struct {
	ID      string   `toml:"id"`
	Dir     string   `toml:"dir"` // log, terms and snapshots
	Members []Member `toml:"members"`
	// Join: an instance without state of its own waits to be taken in by the others instead of beginning with Members, of
	// which only its own line counts.
	Join bool `toml:"join"`

	InitialSettings *searchconfig.Config `toml:"-"` // what holds until something is replicated; nil: nothing
	// TimeScale scales Raft's own time limits, 1 being the library's defaults.
	TimeScale float64 `toml:"pace"`
	// OnSettingsChanged is called with each document that takes hold, one after another; it
	// should not wait for long.
	OnSettingsChanged func(*searchconfig.Config) `toml:"-"`
	// OnApplied is called after each entry and snapshot that this instance has taken; it should not wait for long.
	OnApplied func() `toml:"-"`
	// TrailingLogs is how many entries stay in the log past a snapshot; 0: the usual number.
	TrailingLogs int `toml:"-"`
	// ReportPosition tells another instance how far this one is; its error is marks.ErrRestored where that one knows better. nil:
	// nobody is told, and an old disk is not found.
	ReportPosition func(context.Context, Member, rollback.Report) error `toml:"-"`
	// Listener takes the place of one on this member's address, if set.
	Listener net.Listener `toml:"-"`
}

// Errors of a change or of a read.
var (
	ErrConflict = errors.New("store: another change came first")
	ErrNoLeader = errors.New("store: no leader is known, a majority may be out of reach")
	ErrNoQuorum = errors.New("store: a majority did not confirm in time")
)

// NotLeader says that another instance has to be asked.
type NotLeader struct{ Leader Member }

func (e *NotLeader) Error() string {
	return fmt.Sprintf("store: %s at %s is the leader", e.Leader.ID, e.Leader.HTTP)
}

const (
	applyTimeout      = 3 * time.Second // for a majority to confirm a change
	retainedSnapshots = 2
	maxPooledConns    = 3
)

// Store is one instance.
type Store struct {
	config    Config
	raft      *raft.Raft
	bolt      *raftboltdb.BoltStore
	fsm       *fsm
	positions positionReporter
	limiter   *rate.Limiter // of clients

	barrierTerm atomic.Uint64 // the term in which all of the terms before it was applied
	proposeMu   sync.Mutex    // one change after another, each upon the last
}

// Open starts an instance; one with no state of its own begins with the
// members that the configuration names.
func Open(c Config) (*Store, error) {
	me, ok := c.member(c.ID)
	if !ok {
		return nil, fmt.Errorf("store: %q is not among the members", c.ID)
	}
	if c.Dir == "" {
		return nil, errors.New("store: dir is missing")
	}
	if err := os.MkdirAll(c.Dir, 0o700); err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	logger := eventlog.RaftLogger()
	rc := raft.DefaultConfig()
	rc.LocalID, rc.Logger = raft.ServerID(c.ID), logger
	c.bound(rc)
	if c.TimeScale > 0 {
		for _, d := range []*time.Duration{&rc.HeartbeatTimeout, &rc.ElectionTimeout, &rc.LeaderLeaseTimeout, &rc.CommitTimeout} {
			*d = time.Duration(c.TimeScale * float64(*d))
		}
	}
	s := &Store{config: c, fsm: &fsm{onSettingsChanged: c.OnSettingsChanged, onApplied: c.OnApplied}, positions: positionReporter{detector: rollback.NewDetector()},
		limiter: newChangeLimiter()}
	initial := c.InitialSettings
	if initial == nil {
		initial = &searchconfig.Config{}
	}
	s.fsm.current.Store(config.NewState(initial))
	bolt, err := raftboltdb.New(raftboltdb.Options{Path: filepath.Join(c.Dir, "raft.db")})
	if err != nil {
		return nil, fmt.Errorf("store: log: %w", err)
	}
	s.bolt = bolt
	if err := s.start(rc, me, logger); err != nil {
		_ = bolt.Close()
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.positions.cancel = cancel
	s.positions.ended.Go(func() { s.keepReporting(ctx) })
	return s, nil
}

func (s *Store) start(rc *raft.Config, me Member, logger hclog.Logger) error {
	snaps, err := raft.NewFileSnapshotStoreWithLogger(s.config.Dir, retainedSnapshots, logger)
	if err != nil {
		return fmt.Errorf("store: snapshots: %w", err)
	}
	if err := s.mark(snaps); err != nil {
		return err
	}
	ln := s.config.Listener
	if ln == nil {
		if ln, err = net.Listen("tcp", me.Raft); err != nil {
			return fmt.Errorf("store: %w", err)
		}
	}
	transport := raft.NewNetworkTransportWithLogger(streamLayer{ln}, maxPooledConns, applyTimeout, logger)
	old, err := raft.HasExistingState(s.bolt, s.bolt, snaps)
	if err == nil && !old && !s.config.Join {
		var members raft.Configuration
		for _, m := range s.config.Members {
			members.Servers = append(members.Servers, raft.Server{ID: raft.ServerID(m.ID), Address: raft.ServerAddress(m.Raft)})
		}
		err = raft.BootstrapCluster(rc, s.bolt, s.bolt, snaps, transport, members)
	}
	if err == nil {
		s.raft, err = raft.NewRaft(rc, s.fsm, s.bolt, s.bolt, snaps, transport)
	}
	if err != nil {
		_ = transport.Close()
		return fmt.Errorf("store: %w", err)
	}
	return nil
}

func (c *Config) member(id string) (Member, bool) {
	for _, m := range c.Members {
		if m.ID == id {
			return m, true
		}
	}
	return Member{}, false
}

// Settings is the catalog as this instance has it.
func (s *Store) Settings() *searchconfig.Config { return s.State().Settings() }

// State is all that is agreed, as this instance has it.
func (s *Store) State() *config.State { return s.fsm.current.Load() }

// Read is the catalog as a majority confirms it; only the leader can tell.
func (s *Store) Read() (*searchconfig.Config, error) {
	if err := s.checkLeader(); err != nil {
		return nil, err
	}
	if err := s.await(s.raft.VerifyLeader()); err != nil {
		return nil, err
	}
	if err := s.await(s.raft.Barrier(applyTimeout)); err != nil {
		return nil, err
	}
	return s.Settings(), nil
}

// PatchSettings applies a merge patch once a majority has it.
func (s *Store) PatchSettings(patch []byte) (*searchconfig.Config, error) {
	if err := s.admit(); err != nil {
		return nil, err
	}
	s.proposeMu.Lock()
	defer s.proposeMu.Unlock()
	now, err := s.Read()
	if err != nil {
		return nil, err
	}
	if next, err := now.Patch(patch); err != nil {
		return nil, err // told here: the log takes only what can be used
	} else if next == now {
		return now, nil
	}
	return s.replicateSettings(config.Command{Kind: config.PatchSettings, Payload: patch})
}

// AdvanceShardMap takes a step of an index's layout once a majority has it. A step that changes nothing is not replicated; one that
// cannot be taken is the layout's error.
func (s *Store) AdvanceShardMap(index string, c shardmap.Command) error {
	s.proposeMu.Lock()
	defer s.proposeMu.Unlock()
	now, err := s.Read()
	if err != nil {
		return err
	}
	l := now.ShardMap(index)
	if l == nil {
		return fmt.Errorf("%w: index %q", shardmap.ErrNotFound, index)
	}
	if next, err := l.Apply(c); err != nil || next == l {
		return err
	}
	_, err = s.replicateSettings(config.Command{Kind: config.AdvanceShardMap, Index: index, ShardMapCommand: &c})
	return err
}

// UpdateSettings replicates what change makes of the document that holds. It is a compare-and-set:
// a document that another one has come before is refused with ErrConflict. A change that
// gives back the document it was given replicates nothing.
func (s *Store) UpdateSettings(change func(*searchconfig.Config) (*searchconfig.Config, error)) (*searchconfig.Config, error) {
	if err := s.admit(); err != nil {
		return nil, err
	}
	s.proposeMu.Lock()
	defer s.proposeMu.Unlock()
	now, err := s.Read()
	if err != nil {
		return nil, err
	}
	next, err := change(now)
	if err != nil || next == now {
		return next, err
	}
	data, err := json.Marshal(next)
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	return s.replicateSettings(config.Command{Kind: config.ReplaceSettings, Payload: data})
}

// replicateSettings replicates a command upon the settings that hold here, and gives those that hold then. The lock is held.
func (s *Store) replicateSettings(c config.Command) (*searchconfig.Config, error) {
	if err := s.initialize(c); err != nil {
		return nil, err
	}
	c.ExpectedVersion = s.State().SettingsVersion()
	r, err := s.apply(c)
	if err != nil {
		return nil, err
	}
	if r.Reason != config.Applied {
		return nil, rejectionError(r)
	}
	return s.Settings(), nil
}

// initialize replicates this instance's settings before the first command that is no document: until then instances may differ.
func (s *Store) initialize(c config.Command) error {
	if s.State().Initialized() || c.Kind == config.ReplaceSettings {
		return nil
	}
	data, err := json.Marshal(s.Settings())
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	r, err := s.apply(config.Command{Kind: config.ReplaceSettings, Payload: data})
	if err == nil && r.Reason != config.Applied {
		err = rejectionError(r)
	}
	return err
}

// Propose replicates a command once a majority has it, and tells what it came to. Only the leader takes one.
func (s *Store) Propose(c config.Command) (config.Result, error) {
	if c.Kind != config.RestrictServer {
		if err := s.admit(); err != nil {
			return config.Result{}, err
		}
	}
	s.proposeMu.Lock()
	defer s.proposeMu.Unlock()
	if err := s.checkLeader(); err != nil {
		return config.Result{}, err
	}
	if err := s.initialize(c); err != nil {
		return config.Result{}, err
	}
	return s.apply(c)
}

func (s *Store) apply(c config.Command) (config.Result, error) {
	data, err := config.Encode(c)
	if err != nil {
		return config.Result{}, fmt.Errorf("store: %w", err)
	}
	if len(data) > MaxCommandBytes {
		return config.Result{}, fmt.Errorf("%w: %d bytes of %d", ErrTooLarge, len(data), MaxCommandBytes)
	}
	future := s.raft.Apply(data, applyTimeout)
	if err := s.await(future); err != nil {
		return config.Result{}, err
	}
	switch r := future.Response().(type) {
	case config.Result:
		return r, nil
	case error:
		return config.Result{}, r
	}
	return config.Result{}, fmt.Errorf("store: no answer to an entry: %v", future.Response())
}

// rejectionError words why the log did not take a command.
func rejectionError(r config.Result) error {
	if r.Reason == config.Conflict {
		return fmt.Errorf("%w: %s", ErrConflict, r.Detail)
	}
	return fmt.Errorf("%w: %s: %s", searchconfig.ErrInvalid, r.Reason, r.Detail)
}

// await waits until a majority has confirmed something.
func (*Store) await(future raft.Future) error {
	done := make(chan error, 1)
	go func() { done <- future.Error() }() // ends with the future: when leadership is lost, at the latest
	timer := time.NewTimer(applyTimeout)
	defer timer.Stop()
	select {
	case err := <-done:
		if errors.Is(err, raft.ErrNotLeader) || errors.Is(err, raft.ErrLeadershipLost) || errors.Is(err, raft.ErrEnqueueTimeout) {
			return fmt.Errorf("%w: %w", ErrNoQuorum, err)
		}
		if err != nil {
			return fmt.Errorf("store: %w", err)
		}
		return nil
	case <-timer.C:
		return ErrNoQuorum
	}
}

// checkLeader tells why this instance can't answer for the store, if it can't.
func (s *Store) checkLeader() error {
	if err := s.fsm.halted.Load(); err != nil {
		return *err
	}
	if s.raft.State() == raft.Leader {
		return nil
	}
	addr, id := s.raft.LeaderWithID()
	if id != "" && string(id) != s.config.ID {
		m, _ := s.config.member(string(id))
		if http, ok := s.State().MemberAddress(string(id)); ok {
			m.HTTP = http
		}
		return &NotLeader{Member{string(id), string(addr), m.HTTP}}
	}
	return ErrNoLeader
}

// IsLeader tells whether this instance is the leader, as far as it knows.
func (s *Store) IsLeader() bool { return s.raft.State() == raft.Leader }

// Close stops the instance; its state stays on disk.
func (s *Store) Close() error {
	s.positions.cancel()
	s.positions.ended.Wait()
	err := s.raft.Shutdown().Error()
	if cerr := s.bolt.Close(); err == nil {
		err = cerr
	}
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	return nil
}

// fsm is the replicated state.
type fsm struct {
	current           atomic.Pointer[config.State]
	halted            atomic.Pointer[error] // why it takes no more entries; nil: it does
	onSettingsChanged func(*searchconfig.Config)
	onApplied         func()
}

// set publishes a state.
func (m *fsm) set(s *config.State) {
	was := m.current.Load()
	m.current.Store(s)
	if m.onSettingsChanged != nil && s.Settings() != was.Settings() {
		m.onSettingsChanged(s.Settings())
	}
	if m.onApplied != nil {
		m.onApplied()
	}
}

// Apply takes one entry. One that this program does not know ends its part in the store: to go on without it would be to
// diverge. What held before goes on holding here, and reads and changes say why they fail.
func (m *fsm) Apply(entry *raft.Log) any {
	if why := m.halted.Load(); why != nil {
		return *why
	}
	now := m.current.Load()
	c, err := decode(entry.Data, now)
	if err != nil {
		err = fmt.Errorf("store: entry %d: %w", entry.Index, err)
		if errors.Is(err, config.ErrUnknownFormat) {
			m.halted.Store(&err)
			eventlog.StoreHalted.Log(entry.Index, err)
		} else {
			eventlog.SettingsRejected.Log(entry.Index, err)
		}
		return err
	}
	next, r := now.Apply(c)
	m.set(next)
	if r.Reason != config.Applied {
		eventlog.SettingsRejected.Log(entry.Index, rejectionError(r))
	} else if next.Settings() != now.Settings() {
		eventlog.SettingsChanged.Log(entry.Index)
	}
	return r
}

// decode reads an entry, also one from before there were commands: a document that names its revision.
func decode(data []byte, now *config.State) (config.Command, error) {
	if len(data) == 0 || data[0] != '{' {
		return config.Decode(data)
	}
	doc, err := searchconfig.ParseUpdate(data, now.Settings())
	if err == nil && doc.Revision != 0 && doc.Revision != now.Settings().Revision+1 {
		err = fmt.Errorf("%w: revision %d after %d", ErrConflict, doc.Revision, now.Settings().Revision)
	}
	return config.Command{Kind: config.ReplaceSettings, Payload: data}, err
}

// Snapshot is the state as it stands.
func (m *fsm) Snapshot() (raft.FSMSnapshot, error) {
	if why := m.halted.Load(); why != nil {
		return nil, *why // it would claim entries that it does not hold
	}
	return snapshot{m.current.Load()}, nil
}

// Restore takes a snapshot's state, also one from before there were commands: a document.
func (m *fsm) Restore(in io.ReadCloser) error {
	defer in.Close()
	data, err := io.ReadAll(in)
	if err != nil {
		return fmt.Errorf("store: snapshot: %w", err)
	}
	var s *config.State
	if len(data) > 0 && data[0] == '{' {
		s, _ = config.NewState(&searchconfig.Config{}).Apply(config.Command{Kind: config.ReplaceSettings, Payload: data})
		if !s.Initialized() {
			err = searchconfig.ErrInvalid
		}
	} else {
		s, err = config.Restore(data)
	}
	if err != nil {
		return fmt.Errorf("store: snapshot: %w", err)
	}
	m.halted.Store(nil)
	m.set(s)
	return nil
}

type snapshot struct{ state *config.State }

// Persist writes the state whole.
func (s snapshot) Persist(sink raft.SnapshotSink) error {
	data, err := s.state.Snapshot()
	if err == nil {
		_, err = sink.Write(data)
	}
	if err != nil {
		_ = sink.Cancel()
		return fmt.Errorf("store: snapshot: %w", err)
	}
	return sink.Close()
}

// Release has nothing to let go.
func (snapshot) Release() {}

// streamLayer is Raft's transport over a listener.
type streamLayer struct{ net.Listener }

// Dial connects to another instance.
func (streamLayer) Dial(addr raft.ServerAddress, limit time.Duration) (net.Conn, error) {
	return net.DialTimeout("tcp", string(addr), limit)
}

// Members are the instances by the log, or those of the file where it can't be read.
func (s *Store) Members() (out []Member) {
	peers, err := s.MemberStatuses()
	if err != nil || len(peers) == 0 {
		return s.config.Members
	}
	for _, p := range peers {
		out = append(out, p.Member)
	}
	return out
}

// Leader is the id of the leader; "": none is known.
func (s *Store) Leader() string {
	_, id := s.raft.LeaderWithID()
	return string(id)
}

// ID is this instance's own.
func (s *Store) ID() string { return s.config.ID }
