package store

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"

	"linkpass/internal/config"
)

// Errors of a change of membership.
var (
	ErrUnknownMember = errors.New("store: no such member")
	ErrQuorumAtRisk  = errors.New("store: it would leave too few members that answer for a majority")
	ErrLearnerBehind = errors.New("store: the learner has not caught up")
)

// MaxMembers bounds the instances of a store: more make every change slower and none safer.
const MaxMembers = 9

const (
	probeTimeout  = 300 * time.Millisecond // for a member to accept a connection
	probesTimeout = 2 * time.Second        // from the start of a removal until all members have been probed
)

// AddLearner adds a member that gets the log and does not vote. Only the leader accepts it. To add the same member
// again changes nothing. A context that ends while a quorum is awaited gives ErrOutcomeUnknown.
func (s *Store) AddLearner(ctx context.Context, m Member) error {
	operation := "add learner " + m.ID
	members, err := s.membersAsLeader(ctx, operation)
	if err != nil {
		return err
	}
	if m.ID == "" || m.Raft == "" || m.HTTP == "" {
		return fmt.Errorf("%w: a member needs an id and both addresses", ErrUnknownMember)
	}
	exists, err := checkNewMember(members, m)
	if err != nil || exists {
		return err
	}
	if len(members) >= MaxMembers {
		return fmt.Errorf("%w: %d members are the most", ErrUnknownMember, MaxMembers)
	}
	command := config.Command{Kind: config.SetMemberAddress, Server: m.ID, Payload: []byte(m.HTTP)}
	result, err := s.Propose(ctx, command)
	if err != nil {
		return err
	}
	if result.Reason != config.Applied {
		return fmt.Errorf("%w: %s: %s", ErrUnknownMember, result.Reason, result.Detail)
	}
	if err := checkContext(ctx, operation); err != nil {
		return err // the address is replicated, which harms nothing; a retry continues from there
	}
	future := s.raft.AddNonvoter(raft.ServerID(m.ID), raft.ServerAddress(m.Raft), 0, applyTimeout)
	return awaitChange(ctx, operation, future)
}

// checkNewMember reports whether a member exists already. An id at another address, or an address under another id, is
// an error: a member that lost its disk may not vote again under an id that has voted.
func checkNewMember(members []MemberStatus, m Member) (exists bool, err error) {
	for _, existing := range members {
		if existing.ID == m.ID && existing.Raft == m.Raft {
			return true, nil
		}
		if existing.ID == m.ID || existing.Raft == m.Raft {
			return false, fmt.Errorf("%w: %s is a member at %s already; "+
				"a member that comes back without its disk needs a new id",
				ErrUnknownMember, existing.ID, existing.Raft)
		}
	}
	return false, nil
}

// PromoteLearner makes a learner a voter. caughtUp returns an error unless the learner has applied a version of the
// state: a voter that is behind would delay every change. A context that ends while a quorum is awaited gives
// ErrOutcomeUnknown.
func (s *Store) PromoteLearner(ctx context.Context, id string, caughtUp func(Member, uint64) error) error {
	operation := "promote learner " + id
	members, err := s.membersAsLeader(ctx, operation)
	if err != nil {
		return err
	}
	learner, ok := findMember(members, id)
	if !ok {
		return fmt.Errorf("%w: %s", ErrUnknownMember, id)
	}
	if learner.Voter {
		return nil
	}
	if err := caughtUp(learner.Member, s.State().Version()); err != nil {
		return fmt.Errorf("%w: %s: %w", ErrLearnerBehind, id, err)
	}
	if err := checkContext(ctx, operation); err != nil {
		return err
	}
	future := s.raft.AddVoter(raft.ServerID(id), raft.ServerAddress(learner.Raft), 0, applyTimeout)
	return awaitChange(ctx, operation, future)
}

// RemoveMember removes a member, whether it runs or not. It returns ErrQuorumAtRisk where fewer of the remaining
// voters can be reached than make a quorum of them. To remove a member again changes nothing. A context that ends while
// a quorum is awaited gives ErrOutcomeUnknown; once the removal is committed, the context no longer matters.
func (s *Store) RemoveMember(ctx context.Context, id string) error {
	operation := "remove member " + id
	probing, cancel := context.WithTimeout(ctx, probesTimeout)
	defer cancel()
	members, err := s.membersAsLeader(ctx, operation)
	if err != nil {
		return err
	}
	if _, ok := findMember(members, id); !ok {
		return nil
	}
	voters := votersExcept(members, id)
	reachable := countReachable(probing, s.config.ID, voters)
	if err := checkContext(ctx, operation); err != nil {
		return err // the probes have failed for no other reason
	}
	if quorum := len(voters)/2 + 1; reachable < quorum {
		return fmt.Errorf("%w: %d of %d voters answer", ErrQuorumAtRisk, reachable, len(voters))
	}
	future := s.raft.RemoveServer(raft.ServerID(id), 0, applyTimeout)
	if err := awaitChange(ctx, operation, future); err != nil {
		return err
	}
	if id == s.config.ID {
		return nil // this instance leads no more; its address stays in the state, which harms nothing
	}
	command := config.Command{Kind: config.RemoveMemberAddress, Server: id}
	_, err = s.Propose(context.WithoutCancel(ctx), command)
	return err
}

// membersAsLeader are the members, once a quorum has confirmed that this instance is the leader.
func (s *Store) membersAsLeader(ctx context.Context, operation string) ([]MemberStatus, error) {
	if err := s.verifyLeader(ctx, operation); err != nil {
		return nil, err
	}
	return s.MemberStatuses()
}

// findMember looks up a member by id.
func findMember(members []MemberStatus, id string) (MemberStatus, bool) {
	for _, m := range members {
		if m.ID == id {
			return m, true
		}
	}
	return MemberStatus{}, false
}

// votersExcept are the voters without one member.
func votersExcept(members []MemberStatus, id string) []MemberStatus {
	var out []MemberStatus
	for _, m := range members {
		if m.ID != id && m.Voter {
			out = append(out, m)
		}
	}
	return out
}

// countReachable counts the members that accept a connection; this instance counts without one.
func countReachable(ctx context.Context, self string, members []MemberStatus) int {
	var probes sync.WaitGroup
	var reachable atomic.Int64
	for _, m := range members {
		probes.Go(func() {
			if m.ID == self || probe(ctx, m.Raft) {
				reachable.Add(1)
			}
		})
	}
	probes.Wait()
	return int(reachable.Load())
}

// probe reports whether an address accepts a connection.
func probe(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}
