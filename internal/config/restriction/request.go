package restriction

import (
	"cmp"
	"fmt"
)

// Origin identifies the process that issued a request.
type Origin struct {
	Instance string `cbor:"1,keyasint" json:"instance"`
	// Incarnation increases with each restart of the instance.
	Incarnation uint64 `cbor:"2,keyasint" json:"boot"`
}

// ID identifies a request. No two requests have the same ID.
type ID struct {
	Origin Origin `cbor:"1,keyasint" json:"origin"`
	// Seq numbers the requests of an origin, starting at 1.
	Seq uint64 `cbor:"2,keyasint" json:"seq"`
}

// String returns the id as instance.incarnation.seq.
func (id ID) String() string {
	return fmt.Sprintf("%s.%d.%d", id.Origin.Instance, id.Origin.Incarnation, id.Seq)
}

func compareOrigins(a, b Origin) int {
	return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Incarnation, b.Incarnation))
}

func compareIDs(a, b ID) int {
	return cmp.Or(compareOrigins(a.Origin, b.Origin), cmp.Compare(a.Seq, b.Seq))
}

// Request asks to take a server out of service.
type Request struct {
	ID     ID     `cbor:"1,keyasint" json:"id"`
	Server string `cbor:"2,keyasint" json:"server"`
	Level  Level  `cbor:"3,keyasint" json:"kind"`
	// Force restricts the server even if that leaves a shard or a cell without a replica in service.
	Force bool `cbor:"4,keyasint,omitempty" json:"force,omitempty"`
}
