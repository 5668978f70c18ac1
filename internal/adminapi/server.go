package adminapi

import "linkpass/internal/config"

// Server is the state of a league server as this coordinator sees it.
type Server struct {
	Name                   string             `json:"name"`
	State                  string             `json:"state"`                 // in_service or draining
	Excluded               string             `json:"avoided,omitempty"`     // why it gets no requests; "": it does
	InFlight               int                `json:"out"`                   // attempts of this coordinator in flight
	MedianMS               float64            `json:"median_ms"`             // recent latency, in milliseconds; 0: none
	Health                 map[string]float64 `json:"health"`                // by query class: 1 is healthy, 0 failing
	WarmingUp              bool               `json:"cold,omitempty"`        // may not have its full capacity yet
	ConsecutiveProbeLosses int                `json:"probes_lost,omitempty"` // failed health checks in a row
}

// ServerRequest asks for a change to one league server. With ClientID and Seq it is idempotent. Requests to drain or
// remove a server use only Server, Action and Force.
type ServerRequest struct {
	Server          string             `json:"server"`           // id of the server
	Action          string             `json:"verb"`             // drain, undrain, remove, add, change or weight
	Force           bool               `json:"force,omitempty"`  // also if a shard is left without a replica
	Weight          float64            `json:"weight,omitempty"` // for weight
	Spec            *config.ServerSpec `json:"spec,omitempty"`   // for add and change
	ExpectedVersion uint64             `json:"if,omitempty"`     // the server's version that the client read; 0: any
	ClientID        string             `json:"client,omitempty"` // "": the request is applied each time
	Seq             uint64             `json:"seq,omitempty"`    // starts at 1 and grows with each request of ClientID
}

// ServerResponse is the result of a ServerRequest.
type ServerResponse struct {
	Scope           string   `json:"holds"`             // text that says where the change is in effect by now
	RestrictionID   string   `json:"order,omitempty"`   // of a drain or remove request
	Version         uint64   `json:"version,omitempty"` // of the replicated state after the change
	UncoveredShards []string `json:"bare,omitempty"`    // shards that a forced request left without a replica
}
