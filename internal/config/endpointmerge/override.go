package endpointmerge

import (
	"linkpass/internal/config/restriction"
	"linkpass/internal/coordinator"
)

// Override is the replicated configuration of a server as it is in effect at this instance. The zero value overrides
// nothing.
type Override struct {
	// Restriction drains the server, or removes it from the merged list.
	Restriction restriction.Level
	// Weight replaces the weight from discovery, unless it is 0.
	Weight float64
	// Added is the endpoint of a server that a command added. It is used until discovery lists the server; nil: no
	// command added the server.
	Added *coordinator.Endpoint
}

// Equal reports whether two overrides have the same effect.
func (o Override) Equal(other Override) bool {
	if o.Restriction != other.Restriction || o.Weight != other.Weight {
		return false
	}
	return sameEndpoint(o.Added, other.Added)
}

// sameEndpoint reports whether two endpoints are equal, or both nil.
func sameEndpoint(a, b *coordinator.Endpoint) bool {
	if a == nil || b == nil {
		return a == b
	}
	return *a == *b
}
