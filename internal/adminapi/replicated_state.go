package adminapi

import (
	"linkpass/internal/config"
	"linkpass/internal/config/restriction"
)

// ReplicatedState is what the instances of the store have replicated about servers.
type ReplicatedState struct {
	Version  uint64                       `json:"version"`
	Hash     string                       `json:"hash"` // equal at all instances of the same version
	Servers  map[string]config.Server     `json:"servers"`
	Removed  []string                     `json:"removed,omitempty"`
	Pending  []restriction.Request        `json:"unsettled,omitempty"` // in effect here, not yet decided by the log
	Rejected []config.RejectedRestriction `json:"withdrawn,omitempty"`
}
