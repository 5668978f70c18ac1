package config

import "maps"

// applyMemberAddress applies SetMemberAddress and RemoveMemberAddress.
func (s *State) applyMemberAddress(c Command) Result {
	_, known := s.memberAddresses[c.Server]
	set := c.Kind == SetMemberAddress
	if c.Server == "" || set && (len(c.Payload) == 0 || len(c.Payload) > MaxNameBytes) {
		return reject(Invalid, "an instance needs an id and an address")
	}
	if set && !known && len(s.memberAddresses) >= MaxMemberAddresses {
		return reject(LimitExceeded, "%d instances", MaxMemberAddresses)
	}
	s.memberAddresses = maps.Clone(s.memberAddresses)
	if set {
		s.memberAddresses[c.Server] = string(c.Payload)
	} else {
		delete(s.memberAddresses, c.Server)
	}
	return Result{}
}
