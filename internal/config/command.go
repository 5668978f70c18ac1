package config

import (
	"linkpass/internal/config/restriction"
	"linkpass/internal/shardmap"
)

// CommandKind is what a command does.
type CommandKind uint8

// The kinds of commands. Their numbers are stored: a number is never used for another kind.
const (
	// AddServer adds a server that discovery need not list.
	AddServer CommandKind = iota + 1
	// UpdateServer replaces the specification of a server that was added.
	UpdateServer
	// RestrictServer drains or removes a server, as a request of internal/config/restriction.
	RestrictServer
	// UndrainServer ends a server's drain.
	UndrainServer
	// SetServerWeight overrides the weight that discovery gives a server.
	SetServerWeight
	// PatchSettings applies a JSON merge patch to the settings.
	PatchSettings
	// ReplaceSettings replaces the settings by a complete document.
	ReplaceSettings
	// AdvanceShardMap applies a command to the shard map of an index.
	AdvanceShardMap
	// SetMemberAddress records the client address of a member of the store.
	SetMemberAddress
	// RemoveMemberAddress forgets it.
	RemoveMemberAddress

	// commandKindLimit is one more than the last kind.
	commandKindLimit
)

// Command is one entry of the log. Its kind says which fields count.
type Command struct {
	Kind CommandKind `cbor:"1,keyasint"`
	// ClientID and Seq make a command idempotent: asked again, it applies once. Without a ClientID it applies
	// every time.
	ClientID string `cbor:"2,keyasint,omitempty"`
	// Seq starts at 1 and grows with each command of a client.
	Seq uint64 `cbor:"3,keyasint,omitempty"`
	// ExpectedVersion is the version of the object that the client read, of the server or of the settings; 0
	// accepts any.
	ExpectedVersion uint64 `cbor:"4,keyasint,omitempty"`
	// Server is the server's id, or the member's for the kinds of member addresses.
	Server      string               `cbor:"5,keyasint,omitempty"`
	Spec        *ServerSpec          `cbor:"6,keyasint,omitempty"`
	Weight      float64              `cbor:"7,keyasint,omitempty"`
	Restriction *restriction.Request `cbor:"8,keyasint,omitempty"`
	// WithdrawnIDs are the pending restrictions that an UndrainServer withdraws as well.
	WithdrawnIDs []restriction.ID `cbor:"9,keyasint,omitempty"`
	// Payload is the document or patch of the settings, or a member's address.
	Payload         []byte            `cbor:"10,keyasint,omitempty"`
	Index           string            `cbor:"11,keyasint,omitempty"`
	ShardMapCommand *shardmap.Command `cbor:"12,keyasint,omitempty"`
}
