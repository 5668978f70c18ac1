package config

import (
	"linkpass/internal/config/restriction"
	"linkpass/internal/shardmap"
)

// CommandKind tells what a command does. The zero value is not a valid kind.
type CommandKind uint8

// The kinds of commands. Log entries store their numbers, so a number is never reused for another kind.
const (
	// AddServer adds a server with its specification. Discovery does not have to list the server.
	AddServer CommandKind = iota + 1
	// UpdateServer replaces the specification of a server that was added.
	UpdateServer
	// RestrictServer drains or removes a server. It carries a request of package restriction.
	RestrictServer
	// UndrainServer ends the drain of a server.
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
	// RemoveMemberAddress removes the recorded client address of a member of the store.
	RemoveMemberAddress

	// commandKindLimit is one above the last valid kind.
	commandKindLimit
)

// Command is the content of one log entry. Its Kind determines which of the other fields are used.
type Command struct {
	Kind CommandKind `cbor:"1,keyasint"`
	// ClientID and Seq make a command idempotent: a repeated command is applied once. A command without a ClientID is
	// applied every time.
	ClientID string `cbor:"2,keyasint,omitempty"`
	// Seq starts at 1 and increases with each command of a client.
	Seq uint64 `cbor:"3,keyasint,omitempty"`
	// ExpectedVersion is the version of the server or of the settings that the client read. A command for another
	// version is rejected; 0 accepts any version.
	ExpectedVersion uint64 `cbor:"4,keyasint,omitempty"`
	// Server is the id of a server or, for SetMemberAddress and RemoveMemberAddress, of a member.
	Server string `cbor:"5,keyasint,omitempty"`
	// Spec is used by AddServer and UpdateServer.
	Spec *ServerSpec `cbor:"6,keyasint,omitempty"`
	// Weight is used by SetServerWeight; 0 removes the override.
	Weight float64 `cbor:"7,keyasint,omitempty"`
	// Restriction is used by RestrictServer.
	Restriction *restriction.Request `cbor:"8,keyasint,omitempty"`
	// WithdrawnIDs identify the pending restrictions that UndrainServer withdraws in addition to ending the drain.
	WithdrawnIDs []restriction.ID `cbor:"9,keyasint,omitempty"`
	// Payload is the settings document, the settings patch or the address of a member.
	Payload []byte `cbor:"10,keyasint,omitempty"`
	// Index names the index whose shard map AdvanceShardMap changes.
	Index string `cbor:"11,keyasint,omitempty"`
	// ShardMapCommand is used by AdvanceShardMap.
	ShardMapCommand *shardmap.Command `cbor:"12,keyasint,omitempty"`
}
