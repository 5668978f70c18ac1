// Package config is the state that instances agree on and what commands do to it: servers, drains, weights, layouts and
// settings. It touches no I/O, clock or goroutine: the same commands in the same order give the same state, byte for byte.
package config

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"linkpass/internal/config/restriction"
	"linkpass/internal/layout"
)

// Kind is what a command does.
type Kind uint8

// The kinds. A number is never used for another kind.
const (
	AddServer Kind = iota + 1
	ChangeServer
	Restrict // drain or remove, as an order of internal/config/restriction
	Undrain
	SetWeight
	Patch    // a JSON merge patch of the settings
	Document // the settings whole
	Layout   // a step of an index's layout
	SetPeer  // an instance of the store: Server is its id, Text its address for clients
	DropPeer
	kinds
)

// Spec is a server as it was added.
type Spec struct {
	Addr string `cbor:"1,keyasint" json:"addr"`
	Zone string `cbor:"2,keyasint" json:"zone,omitempty"`
	Kind string `cbor:"3,keyasint" json:"kind,omitempty"`
	Cell int    `cbor:"4,keyasint" json:"cell"`
}

// Command is one entry of the log. Which fields count, the kind says.
type Command struct {
	Kind   Kind   `cbor:"1,keyasint"`
	Client string `cbor:"2,keyasint,omitempty"` // with Seq: asked again, it applies once. "": whenever it comes
	Seq    uint64 `cbor:"3,keyasint,omitempty"` // from 1, growing
	// If is the version of the object that was read: of the server, or of the settings; 0: any. A server is added where
	// there is none.
	If      uint64               `cbor:"4,keyasint,omitempty"`
	Server  string               `cbor:"5,keyasint,omitempty"`
	Spec    *Spec                `cbor:"6,keyasint,omitempty"`
	Weight  float64              `cbor:"7,keyasint,omitempty"`
	Order   *restriction.Request `cbor:"8,keyasint,omitempty"`
	Names   []restriction.ID     `cbor:"9,keyasint,omitempty"` // of Undrain: orders in sight that it withdraws too
	Text    []byte               `cbor:"10,keyasint,omitempty"`
	Index   string               `cbor:"11,keyasint,omitempty"`
	Advance *layout.Command      `cbor:"12,keyasint,omitempty"`
}

// Reason says why a command did nothing; "": it did.
type Reason string

// The reasons. They are results of the log, the same at every instance.
const (
	Done      Reason = ""
	Conflict  Reason = "another change came first"
	Unknown   Reason = "there is no such server"
	There     Reason = "the server is there already"
	WasGone   Reason = "the id was removed and does not come back"
	Bare      Reason = "it would leave a slice without a holder in service"
	Decided   Reason = "the order was decided before"
	Old       Reason = "a later command of the same client came first"
	Unfounded Reason = "the settings were never agreed; a document comes first"
	Full      Reason = "there is no room for more of these"
	Malformed Reason = "it cannot be used"
)

// Result is what a command came to.
type Result struct {
	Reason  Reason   `cbor:"1,keyasint,omitempty" json:"reason,omitempty"`
	Detail  string   `cbor:"2,keyasint,omitempty" json:"detail,omitempty"`
	Version uint64   `cbor:"3,keyasint" json:"version"`                  // of the state, after the command that gave this result first
	Bare    []string `cbor:"4,keyasint,omitempty" json:"bare,omitempty"` // slices that a forced command left without a holder, or that a refused one would have
}

// Limits of what is kept.
const (
	MaxEntry     = 4 << 20 // bytes of one entry
	MaxClients   = 1024    // whose last command is remembered
	MaxServers   = 10_000
	MaxGone      = 100_000 // removed ids
	MaxPeers     = 32      // instances whose address is kept
	MaxWithdrawn = 256     // last withdrawals that are told
	MaxBareTold  = 16      // slices named in a result
	MaxName      = 128     // bytes of a client's or server's name
)

// format begins an entry and a snapshot. A later one that an older program cannot read gets the next number.
const format = 1

// ErrFormat says that an entry is of a later program: an instance that goes on without it would diverge, so it must stop.
var ErrFormat = errors.New("config: an entry of a later program")

var (
	encoding = must(cbor.CoreDetEncOptions().EncMode())
	decoding = must(cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
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
	data, err := encoding.Marshal(c)
	if err == nil && len(data) >= MaxEntry {
		err = fmt.Errorf("%d bytes are more than %d", len(data), MaxEntry)
	}
	if err != nil {
		return nil, fmt.Errorf("config: command: %w", err)
	}
	return append([]byte{format}, data...), nil
}

// Decode reads an entry. What is no entry at all, or one of a later program, is ErrFormat: the caller must stop.
func Decode(data []byte) (Command, error) {
	var c Command
	if len(data) == 0 || data[0] != format {
		return c, fmt.Errorf("%w: format %d is not known here", ErrFormat, first(data))
	}
	if err := decoding.Unmarshal(data[1:], &c); err != nil {
		return c, fmt.Errorf("%w: %w", ErrFormat, err)
	}
	if c.Kind == 0 || c.Kind >= kinds {
		return c, fmt.Errorf("%w: command %d is not known here", ErrFormat, c.Kind)
	}
	return c, nil
}

func first(data []byte) int {
	if len(data) == 0 {
		return -1
	}
	return int(data[0])
}
