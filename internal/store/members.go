package store

import (
	"fmt"

	"github.com/hashicorp/raft"
)

// MemberStatus is a member of Raft's configuration.
type MemberStatus struct {
	Member
	Voter bool // false for a learner, which receives the log but does not vote
}

// Members returns the members of Raft's configuration, or Config.Members if it is empty or cannot be read.
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

// MemberStatuses returns the members of Raft's configuration: voters and learners.
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

// memberStatus converts a server of Raft's configuration. The HTTP address stays empty: Raft's configuration has none.
func memberStatus(server raft.Server) MemberStatus {
	return MemberStatus{
		Member: Member{ID: string(server.ID), Raft: string(server.Address)},
		Voter:  server.Suffrage == raft.Voter,
	}
}

// httpAddress returns a member's configured HTTP address, or the replicated one if none is configured.
func (s *Store) httpAddress(id string) string {
	if m, ok := s.config.member(id); ok && m.HTTP != "" {
		return m.HTTP
	}
	address, _ := s.State().MemberAddress(id)
	return address
}
