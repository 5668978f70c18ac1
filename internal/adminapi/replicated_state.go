package adminapi

import (
	"linkpass/internal/config"
	"linkpass/internal/config/restriction"
)

// ReplicatedState is the state of the league servers that the instances of the store replicate, as this instance has
// it.
type ReplicatedState struct {
	Version  uint64                       `json:"version"`
	Hash     string                       `json:"hash"`                // equal on all instances at the same Version
	Servers  map[string]config.Server     `json:"servers"`             // by server id
	Removed  []string                     `json:"removed,omitempty"`   // ids of removed servers
	Pending  []restriction.Request        `json:"unsettled,omitempty"` // in effect here, not yet decided by the log
	Rejected []config.RejectedRestriction `json:"withdrawn,omitempty"` // rejected by the log or withdrawn by an undrain
}
