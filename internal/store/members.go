package store

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"linkpass/internal/config"
)

// Errors of a change of members.
var (
	ErrUnknownMember = errors.New("store: no such member")
	ErrQuorumAtRisk  = errors.New("store: it would leave too few members that answer for a majority")
	ErrLearnerBehind = errors.New("store: the learner has not caught up")
)

// MaxMembers bounds the instances of a store; more make every change slower and none safer.
const MaxMembers = 9

const probeTimeout = 300 * time.Millisecond // for a member to take a connection

// MemberStatus is a member as the log has it.
type MemberStatus struct {
	Member
	Voter bool
}

// MemberStatuses are the members by the log: those that vote and those that learn.
func (s *Store) MemberStatuses() ([]MemberStatus, error) {
	future := s.raft.GetConfiguration()
	if err := future.Error(); err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	var out []MemberStatus
	for _, v := range future.Configuration().Servers {
		id := string(v.ID)
		http, ok := s.State().MemberAddress(id)
		if m, named := s.config.member(id); !ok && named {
			http = m.HTTP
		}
		out = append(out, MemberStatus{Member{ID: id, Raft: string(v.Address), HTTP: http}, v.Suffrage == raft.Voter})
	}
	return out, nil
}

// AddLearner lets an instance learn: it gets the log and does not vote. Only the leader takes it.
func (s *Store) AddLearner(m Member) error {
	peers, err := s.membersAsLeader()
	if err != nil {
		return err
	}
	if m.ID == "" || m.Raft == "" || m.HTTP == "" {
		return fmt.Errorf("%w: a member needs an id and both addresses", ErrUnknownMember)
	}
	for _, p := range peers {
		if p.ID == m.ID && p.Raft == m.Raft {
			return nil // asked again
		}
		if p.ID == m.ID || p.Raft == m.Raft {
			return fmt.Errorf("%w: %s is a member at %s already; a member that comes back without its disk needs a new id", ErrUnknownMember, p.ID, p.Raft)
		}
	}
	if len(peers) >= MaxMembers {
		return fmt.Errorf("%w: %d members are the most", ErrUnknownMember, MaxMembers)
	}
	if r, err := s.Propose(config.Command{Kind: config.SetMemberAddress, Server: m.ID, Payload: []byte(m.HTTP)}); err != nil {
		return err
	} else if r.Reason != config.Applied {
		return fmt.Errorf("%w: %s: %s", ErrUnknownMember, r.Reason, r.Detail)
	}
	return s.await(s.raft.AddNonvoter(raft.ServerID(m.ID), raft.ServerAddress(m.Raft), 0, applyTimeout))
}

// PromoteLearner lets a learner vote. Caught tells whether it has caught up with a version of the state; one that has not would
// hold up every change.
func (s *Store) PromoteLearner(id string, caught func(Member, uint64) error) error {
	peers, err := s.membersAsLeader()
	if err != nil {
		return err
	}
	for _, p := range peers {
		if p.ID != id {
			continue
		}
		if p.Voter {
			return nil
		}
		if err := caught(p.Member, s.State().Version()); err != nil {
			return fmt.Errorf("%w: %s: %w", ErrLearnerBehind, id, err)
		}
		return s.await(s.raft.AddVoter(raft.ServerID(id), raft.ServerAddress(p.Raft), 0, applyTimeout))
	}
	return fmt.Errorf("%w: %s", ErrUnknownMember, id)
}

// RemoveMember takes a member away, dead or alive. What would leave fewer voters that answer than a majority of those that remain
// is refused.
func (s *Store) RemoveMember(ctx context.Context, id string) error {
	peers, err := s.membersAsLeader()
	if err != nil {
		return err
	}
	left, there := []MemberStatus{}, false
	for _, p := range peers {
		if there = there || p.ID == id; p.ID != id && p.Voter {
			left = append(left, p)
		}
	}
	if !there {
		return nil // asked again
	}
	if alive := s.alive(ctx, left); alive < len(left)/2+1 {
		return fmt.Errorf("%w: %d of %d voters answer", ErrQuorumAtRisk, alive, len(left))
	}
	if err := s.await(s.raft.RemoveServer(raft.ServerID(id), 0, applyTimeout)); err != nil {
		return err
	}
	if id == s.config.ID {
		return nil // what leads next drops its address, or nobody does: it is a line of text
	}
	_, err = s.Propose(config.Command{Kind: config.RemoveMemberAddress, Server: id})
	return err
}

// membersAsLeader tells the members, where this instance leads.
func (s *Store) membersAsLeader() ([]MemberStatus, error) {
	if err := s.checkLeader(); err != nil {
		return nil, err
	}
	if err := s.await(s.raft.VerifyLeader()); err != nil {
		return nil, err
	}
	return s.MemberStatuses()
}

// alive counts those of some members that take a connection, this instance among them.
func (s *Store) alive(ctx context.Context, peers []MemberStatus) (n int) {
	var all sync.WaitGroup
	var mu sync.Mutex
	for _, p := range peers {
		all.Go(func() {
			if p.ID != s.config.ID {
				call, cancel := context.WithTimeout(ctx, probeTimeout)
				defer cancel()
				nc, err := (&net.Dialer{}).DialContext(call, "tcp", p.Raft)
				if err != nil {
					return
				}
				_ = nc.Close()
			}
			mu.Lock()
			defer mu.Unlock()
			n++
		})
	}
	all.Wait()
	return n
}
