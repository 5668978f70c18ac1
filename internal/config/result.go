package config

import "fmt"

// Reason says why a command was rejected. It is replicated, so its texts are the same at every instance and version.
type Reason string

// The reasons. Applied means that the command was not rejected.
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

// reasonUndrained is recorded for a pending restriction that an undrain withdrew.
const reasonUndrained Reason = "undrained"

// Result is the outcome of a command.
//
// The whole of it is replicated: it lies in the client sessions of the state and so counts in the state's hash.
// A changed text would make instances of two versions diverge; TestResultDetailGolden holds them.
type Result struct {
	Reason Reason `cbor:"1,keyasint,omitempty" json:"reason,omitempty"`
	Detail string `cbor:"2,keyasint,omitempty" json:"detail,omitempty"`
	// Version is that of the state after the command that gave this result first.
	Version uint64 `cbor:"3,keyasint" json:"version"`
	// UncoveredShards are shards that a forced command left without a replica, or that a rejected one would have.
	UncoveredShards []string `cbor:"4,keyasint,omitempty" json:"bare,omitempty"`
}

func reject(reason Reason, format string, args ...any) Result {
	return Result{Reason: reason, Detail: fmt.Sprintf(format, args...)}
}
