package config

import "fmt"

// Reason tells why a command was rejected. Reasons are replicated, so their texts must be the same at every instance
// and in every version of the program.
type Reason string

// The reasons for a rejection. The zero value, Applied, means that the command was not rejected.
const (
	Applied         Reason = ""
	Conflict        Reason = "another change came first"
	ServerNotFound  Reason = "there is no such server"
	ServerExists    Reason = "the server is there already"
	ServerIDRetired Reason = "the id was removed and does not come back"
	NoReplicaLeft   Reason = "it would leave a slice without a holder in service"
	AlreadySettled  Reason = "the order was decided before"
	StaleSequence   Reason = "a later command of the same client came first"
	// NotInitialized: the first settings document has not been replicated yet.
	NotInitialized Reason = "the settings were never agreed; a document comes first"
	LimitExceeded  Reason = "there is no room for more of these"
	Invalid        Reason = "it cannot be used"
)

// reasonUndrained is recorded for a pending restriction that an UndrainServer command withdrew.
const reasonUndrained Reason = "undrained"

// Result is the outcome of a command.
//
// All of it is replicated: the state keeps it in the client sessions, so it is part of the state's hash. If a version
// of the program changed a text, its instances would diverge from those of earlier versions. TestResultDetailGolden
// checks the texts.
type Result struct {
	Reason Reason `cbor:"1,keyasint,omitempty" json:"reason,omitempty"`
	// Detail explains a rejection to a person; it is empty if the command was applied.
	Detail string `cbor:"2,keyasint,omitempty" json:"detail,omitempty"`
	// Version is the version of the state after the command was first applied. A repeated command returns the same.
	Version uint64 `cbor:"3,keyasint" json:"version"`
	// UncoveredShards lists the shards and cells that a forced restriction left without a replica in service, or that
	// a rejected one would have left without one; at most MaxReportedShards of them.
	UncoveredShards []string `cbor:"4,keyasint,omitempty" json:"bare,omitempty"`
}

// reject returns the result of a rejected command. Its texts are replicated and must not change.
func reject(reason Reason, format string, args ...any) Result {
	return Result{Reason: reason, Detail: fmt.Sprintf(format, args...)}
}
