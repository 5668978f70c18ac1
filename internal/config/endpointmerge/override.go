package endpointmerge

import (
	"linkpass/internal/config/restriction"
	"linkpass/internal/coordinator"
)

// Override is what instances have replicated about a server, as it is in effect here. The zero value overrides
// nothing.
type Override struct {
	Restriction restriction.Level
	// Weight replaces discovery's, unless it is 0.
	Weight float64
	// Added is the endpoint of a server that a command added, used where discovery does not list the server;
	// nil: none.
	Added *coordinator.Endpoint
}

// Equal tells whether two overrides have the same effect.
func (o Override) Equal(other Override) bool {
	if o.Restriction != other.Restriction || o.Weight != other.Weight {
		return false
	}
	if o.Added == nil || other.Added == nil {
		return o.Added == other.Added
	}
	return *o.Added == *other.Added
}
