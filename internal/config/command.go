// Package config is the state that instances agree on and what commands do to it: servers, drains, weights, layouts and
// settings. It touches no I/O, clock or goroutine: the same commands in the same order give the same state, byte for byte.
package config

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"linkpass/internal/config/restriction"
	"linkpass/internal/shardmap"
)

// CommandKind is what a command does.
type CommandKind uint8

// The kinds. A number is never used for another kind.
const (
	AddServer CommandKind = iota + 1
	UpdateServer
	RestrictServer // drain or remove, as an order of internal/config/restriction
	UndrainServer
	SetServerWeight
	PatchSettings    // a JSON merge patch of the settings
	ReplaceSettings  // the settings whole
	AdvanceShardMap  // a step of an index's layout
	SetMemberAddress // an instance of the store: Server is its id, Text its address for clients
	RemoveMemberAddress
	commandKinds
)

// ServerSpec is a server as it was added.
type ServerSpec struct {
	Addr string `cbor:"1,keyasint" json:"addr"`
	Zone string `cbor:"2,keyasint" json:"zone,omitempty"`
	Kind string `cbor:"3,keyasint" json:"kind,omitempty"`
	Cell int    `cbor:"4,keyasint" json:"cell"`
}

// Command is one entry of the log. Which fields count, the kind says.
type Command struct {
	Kind     CommandKind `cbor:"1,keyasint"`
	ClientID string      `cbor:"2,keyasint,omitempty"` // with Seq: asked again, it applies once. "": whenever it comes
	Seq      uint64      `cbor:"3,keyasint,omitempty"` // from 1, growing
	// ExpectedVersion is the version of the object that was read: of the server, or of the settings; 0: any. A server is added where
	// there is none.
	ExpectedVersion uint64               `cbor:"4,keyasint,omitempty"`
	Server          string               `cbor:"5,keyasint,omitempty"`
	Spec            *ServerSpec          `cbor:"6,keyasint,omitempty"`
	Weight          float64              `cbor:"7,keyasint,omitempty"`
	Restriction     *restriction.Request `cbor:"8,keyasint,omitempty"`
	WithdrawnIDs    []restriction.ID     `cbor:"9,keyasint,omitempty"` // of Undrain: orders in sight that it withdraws too
	Payload         []byte               `cbor:"10,keyasint,omitempty"`
	Index           string               `cbor:"11,keyasint,omitempty"`
	ShardMapCommand *shardmap.Command    `cbor:"12,keyasint,omitempty"`
}

// Reason says why a command did nothing; "": it did.
type Reason string

// The reasons. They are results of the log, the same at every instance.
const (
	Applied         Reason = ""
	Conflict        Reason = "another change came first"
	ServerNotFound  Reason = "there is no such server"
	ServerExists    Reason = "the server is there already"
	ServerIDRetired Reason = "the id was removed and does not come back"
	NoReplicaLeft   Reason = "it would leave a slice without a holder in service"
	AlreadySettled  Reason = "the order was decided before"
	StaleSequence   Reason = "a later command of the same client came first"
	NotInitialized  Reason = "the settings were never agreed; a document comes first"
	LimitExceeded   Reason = "there is no room for more of these"
	Invalid         Reason = "it cannot be used"
)

// Result is what a command came to.
type Result struct {
	Reason          Reason   `cbor:"1,keyasint,omitempty" json:"reason,omitempty"`
	Detail          string   `cbor:"2,keyasint,omitempty" json:"detail,omitempty"`
	Version         uint64   `cbor:"3,keyasint" json:"version"`                  // of the state, after the command that gave this result first
	UncoveredShards []string `cbor:"4,keyasint,omitempty" json:"bare,omitempty"` // slices that a forced command left without a holder, or that a refused one would have
}

// Limits of what is kept.
const (
	MaxEntryBytes           = 4 << 20 // bytes of one entry
	MaxClients              = 1024    // whose last command is remembered
	MaxServers              = 10_000
	MaxRemovedIDs           = 100_000 // removed ids
	MaxMemberAddresses      = 32      // instances whose address is kept
	MaxRejectedRestrictions = 256     // last withdrawals that are told
	MaxReportedShards       = 16      // slices named in a result
	MaxNameBytes            = 128     // bytes of a client's or server's name
)

// formatVersion begins an entry and a snapshot. A later one that an older program cannot read gets the next number.
const formatVersion = 1

// ErrUnknownFormat says that an entry is of a later program: an instance that goes on without it would diverge, so it must stop.
var ErrUnknownFormat = errors.New("config: an entry of a later program")

var (
	encMode = must(cbor.CoreDetEncOptions().EncMode())
	decMode = must(cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		MaxNestedLevels: 32, MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 20}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err) // the options above are constants
	}
	return v
}

// Encode words a command as an entry of the log.
func Encode(c Command) ([]byte, error) {
	data, err := encMode.Marshal(c)
	if err == nil && len(data) >= MaxEntryBytes {
		err = fmt.Errorf("%d bytes are more than %d", len(data), MaxEntryBytes)
	}
	if err != nil {
		return nil, fmt.Errorf("config: command: %w", err)
	}
	return append([]byte{formatVersion}, data...), nil
}

// Decode reads an entry. What is no entry at all, or one of a later program, is ErrFormat: the caller must stop.
func Decode(data []byte) (Command, error) {
	var c Command
	if len(data) == 0 || data[0] != formatVersion {
		return c, fmt.Errorf("%w: format %d is not known here", ErrUnknownFormat, firstByte(data))
	}
	if err := decMode.Unmarshal(data[1:], &c); err != nil {
		return c, fmt.Errorf("%w: %w", ErrUnknownFormat, err)
	}
	if c.Kind == 0 || c.Kind >= commandKinds {
		return c, fmt.Errorf("%w: command %d is not known here", ErrUnknownFormat, c.Kind)
	}
	return c, nil
}

func firstByte(data []byte) int {
	if len(data) == 0 {
		return -1
	}
	return int(data[0])
}
