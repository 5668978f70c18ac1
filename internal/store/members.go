package store

import (
	"fmt"

	"github.com/hashicorp/raft"
)

// MemberStatus is a member as Raft's log has it.
type MemberStatus struct {
	Member
	Voter bool // false: a learner, which gets the log and does not vote
}

// Members are the members by Raft's log, or the configured ones where it can't be read.
func (s *Store) Members() []Member {
	statuses, err := s.MemberStatuses()
	if err != nil || len(statuses) == 0 {
		return s.config.Members
	}
	var out []Member
	for _, m := range statuses {
		out = append(out, m.Member)
	}
	return out
}

// MemberStatuses are the members by Raft's log: voters and learners.
func (s *Store) MemberStatuses() ([]MemberStatus, error) {
	future := s.raft.GetConfiguration()
	if err := future.Error(); err != nil {
		return nil, fmt.Errorf("store: read members: %w", err)
	}
	var out []MemberStatus
	for _, server := range future.Configuration().Servers {
		status := memberStatus(server)
		status.HTTP = s.httpAddress(status.ID)
		out = append(out, status)
	}
	return out, nil
}

// memberStatus converts a member of Raft's configuration, which has no HTTP address.
func memberStatus(server raft.Server) MemberStatus {
	return MemberStatus{
		Member: Member{ID: string(server.ID), Raft: string(server.Address)},
		Voter:  server.Suffrage == raft.Voter,
	}
}

// httpAddress is a member's replicated HTTP address, or the configured one where none is replicated.
func (s *Store) httpAddress(id string) string {
	if address, ok := s.State().MemberAddress(id); ok {
		return address
	}
	m, _ := s.config.member(id)
	return m.HTTP
}
