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
	// ErrUnknownMember is returned if no member has the id that a call names. It is also returned if a member cannot
	// be added: both uses share one text.
	ErrUnknownMember = errors.New("store: no such member")
	// ErrQuorumAtRisk is returned if a removal would leave fewer reachable voters than a quorum needs.
	ErrQuorumAtRisk = errors.New("store: the removal would leave too few members reachable for a majority")
	// ErrLearnerBehind is returned if a learner to be promoted has not applied the current state yet.
	ErrLearnerBehind = errors.New("store: the learner has not caught up")
)

// MaxMembers is the maximum number of members of a store. More members would make every change slower and none safer.
const MaxMembers = 9

const (
	dialTimeout         = 300 * time.Millisecond // for one member to accept a connection
	reachabilityTimeout = 2 * time.Second        // from the start of a removal until the last connection attempt ends
)

// AddLearner adds a member that receives the log but does not vote. Only the leader accepts it. Adding the same member
// again has no effect. It returns ErrUnknownMember if the member is incomplete, its id or its Raft address belongs to
// another member, there are MaxMembers members already, or the state rejects the HTTP address. It returns
// ErrOutcomeUnknown if the context ends while a quorum is awaited.
func (s *Store) AddLearner(ctx context.Context, m Member) error {
	operation := "add learner " + m.ID
	members, err := s.membersAsLeader(ctx, operation)
	if err != nil {
		return err
	}
	if m.ID == "" || m.Raft == "" || m.HTTP == "" {
		return fmt.Errorf("%w: a member needs an id, a Raft address and an HTTP address", ErrUnknownMember)
	}
	exists, err := checkNewMember(members, m)
	if err != nil {
		return err
	}
	if err := s.replicateAddresses(ctx, members); err != nil || exists {
		return err
	}
	if len(members) >= MaxMembers {
		return fmt.Errorf("%w: at most %d members are allowed", ErrUnknownMember, MaxMembers)
	}
	if err := s.replicateAddress(ctx, m); err != nil {
		return err
	}
	// The replicated address does no harm if the next step fails; a retry continues from here.
	if err := checkContext(ctx, operation); err != nil {
		return halfDone(operation, err)
	}
	future := s.raft.AddNonvoter(raft.ServerID(m.ID), raft.ServerAddress(m.Raft), 0, quorumTimeout)
	return halfDone(operation, awaitChange(ctx, operation, future))
}

// halfDone returns the error of the second of two steps, the first of which was done. It wraps ErrOutcomeUnknown, because
// the operation has changed something.
func halfDone(operation string, err error) error {
	if err == nil || errors.Is(err, ErrOutcomeUnknown) {
		return err
	}
	return fmt.Errorf("store: %s: half of it is done: %w: %w", operation, ErrOutcomeUnknown, err)
}

// replicateAddresses replicates the HTTP addresses of members that only the instances' files have so far: an instance that
// joins has itself alone in its file, and sends the others its drains.
func (s *Store) replicateAddresses(ctx context.Context, members []MemberStatus) error {
	for _, m := range members {
		if _, known := s.State().MemberAddress(m.ID); known || m.HTTP == "" {
			continue
		}
		if err := s.replicateAddress(ctx, m.Member); err != nil {
			return err
		}
	}
	return nil
}

// replicateAddress replicates the HTTP address of a member.
func (s *Store) replicateAddress(ctx context.Context, m Member) error {
	command := config.Command{Kind: config.SetMemberAddress, Server: m.ID, Payload: []byte(m.HTTP)}
	result, err := s.Propose(ctx, command)
	if err != nil {
		return err
	}
	if result.Reason != config.Applied {
		return fmt.Errorf("%w: %s: %s", ErrUnknownMember, result.Reason, result.Detail)
	}
	return nil
}

// checkNewMember reports whether a member exists already. It returns an error if its id is in use at another Raft
// address, or its Raft address under another id: a member that lost its disk must not vote again under an id that has
// already voted.
func checkNewMember(members []MemberStatus, m Member) (exists bool, err error) {
	for _, existing := range members {
		if existing.ID == m.ID && existing.Raft == m.Raft {
			return true, nil
		}
		if existing.ID == m.ID || existing.Raft == m.Raft {
			return false, fmt.Errorf("%w: %s is already a member at %s; "+
				"a member that lost its disk needs a new id",
				ErrUnknownMember, existing.ID, existing.Raft)
		}
	}
	return false, nil
}

// PromoteLearner makes a learner a voter; if the member is a voter already, it has no effect. caughtUp must return an
// error unless the learner has applied the given version of the state; PromoteLearner then returns ErrLearnerBehind,
// because a voter that is behind would delay every change. It returns ErrUnknownMember if there is no such member, and
// ErrOutcomeUnknown if the context ends while a quorum is awaited.
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
	future := s.raft.AddVoter(raft.ServerID(id), raft.ServerAddress(learner.Raft), 0, quorumTimeout)
	return awaitChange(ctx, operation, future)
}

// RemoveMember removes a member, whether it is running or not. It returns ErrQuorumAtRisk if fewer of the remaining
// voters are reachable than a quorum of them needs. Removing an id that is not a member has no effect. It returns
// ErrOutcomeUnknown if the context ends while a quorum is awaited; after the removal is committed, the context is
// ignored.
func (s *Store) RemoveMember(ctx context.Context, id string) error {
	operation := "remove member " + id
	dialCtx, cancel := context.WithTimeout(ctx, reachabilityTimeout)
	defer cancel()
	members, err := s.membersAsLeader(ctx, operation)
	if err != nil {
		return err
	}
	if _, ok := findMember(members, id); !ok {
		return nil
	}
	voters := votersExcept(members, id)
	reachable := countReachable(dialCtx, s.config.ID, voters)
	if err := checkContext(ctx, operation); err != nil {
		return err // members may have counted as unreachable only because the context ended
	}
	if quorum := len(voters)/2 + 1; reachable < quorum {
		return fmt.Errorf("%w: %d of the %d remaining voters are reachable", ErrQuorumAtRisk, reachable, len(voters))
	}
	future := s.raft.RemoveServer(raft.ServerID(id), 0, quorumTimeout)
	if err := awaitChange(ctx, operation, future); err != nil {
		return err
	}
	if id == s.config.ID {
		return nil // no longer the leader; its address stays in the state, which does no harm
	}
	command := config.Command{Kind: config.RemoveMemberAddress, Server: id}
	_, err = s.Propose(context.WithoutCancel(ctx), command)
	return halfDone(operation, err)
}

// membersAsLeader returns the members after a quorum has confirmed that this instance is the leader. The state of this
// instance has all entries that were committed in earlier terms then.
func (s *Store) membersAsLeader(ctx context.Context, operation string) ([]MemberStatus, error) {
	if err := s.verifyLeader(ctx, operation); err != nil {
		return nil, err
	}
	if err := s.awaitEarlierTerms(ctx, operation); err != nil {
		return nil, err
	}
	return s.MemberStatuses()
}

// findMember returns the member with an id.
func findMember(members []MemberStatus, id string) (MemberStatus, bool) {
	for _, m := range members {
		if m.ID == id {
			return m, true
		}
	}
	return MemberStatus{}, false
}

// votersExcept returns all voters except the one with an id.
func votersExcept(members []MemberStatus, id string) []MemberStatus {
	var out []MemberStatus
	for _, m := range members {
		if m.ID != id && m.Voter {
			out = append(out, m)
		}
	}
	return out
}

// countReachable returns the number of members that accept a connection. This instance counts as reachable and is not
// dialed.
func countReachable(ctx context.Context, self string, members []MemberStatus) int {
	var dials sync.WaitGroup
	var reachable atomic.Int64
	for _, m := range members {
		dials.Go(func() {
			if m.ID == self || acceptsConnection(ctx, m.Raft) {
				reachable.Add(1)
			}
		})
	}
	dials.Wait()
	return int(reachable.Load())
}

// acceptsConnection reports whether an address accepts a TCP connection within dialTimeout.
func acceptsConnection(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}
