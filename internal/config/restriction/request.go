package restriction

import (
	"cmp"
	"fmt"
)

// Origin is the process that issued a request: an instance, and an incarnation that grows with each of its restarts.
type Origin struct {
	Instance    string `cbor:"1,keyasint" json:"instance"`
	Incarnation uint64 `cbor:"2,keyasint" json:"boot"`
}

// ID identifies a request. It is never used twice.
type ID struct {
	Origin Origin `cbor:"1,keyasint" json:"origin"`
	// Seq counts the requests of an origin, from 1.
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
	// Force restricts the server even if that leaves a shard without a replica.
	Force bool `cbor:"4,keyasint,omitempty" json:"force,omitempty"`
}
