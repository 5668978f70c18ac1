package metrics

import "sync/atomic"

// Totals are the figures that operators read most. Each is changed in one place only: where the counted event happens.
type Totals struct {
	Classes         []string       // class names; each list below has one counter for each class
	Served          []atomic.Int64 // final answers, by class
	Rejected        []atomic.Int64 // by class
	Failed          []atomic.Int64 // by class
	Attempts        atomic.Int64   // attempts written completely to league servers
	InFlight        atomic.Int64   // queries submitted to the core and not yet ended
	ServersKnown    atomic.Int64   // servers in the endpoint list
	ServersExcluded atomic.Int64   // servers in the list that drain, are unreachable, or are ejected for every class
}

// NewTotals returns totals for the classes of these names. All figures are 0.
func NewTotals(classes []string) *Totals {
	n := len(classes)
	return &Totals{
		Classes:  classes,
		Served:   make([]atomic.Int64, n),
		Rejected: make([]atomic.Int64, n),
		Failed:   make([]atomic.Int64, n),
	}
}
