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
	// Added is the endpoint of a server that a command added. It is used while discovery does not list the server;
	// nil: no command added the server.
	Added *coordinator.Endpoint
}

// Equal reports whether two overrides have the same effect.
func (o Override) Equal(other Override) bool {
	if o.Restriction != other.Restriction || o.Weight != other.Weight {
		return false
	}
	if o.Added == nil || other.Added == nil {
		return o.Added == other.Added
	}
	return *o.Added == *other.Added
}
