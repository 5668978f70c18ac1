package adminapi

import "linkpass/internal/config"

// Server is a league server as this coordinator sees it.
type Server struct {
	Name                   string             `json:"name"`
	State                  string             `json:"state"` // in_service, draining
	Excluded               string             `json:"avoided,omitempty"`
	InFlight               int                `json:"out"` // shard requests of this coordinator
	MedianMS               float64            `json:"median_ms"`
	Health                 map[string]float64 `json:"health"` // by class, 1: healthy
	WarmingUp              bool               `json:"cold,omitempty"`
	ConsecutiveProbeLosses int                `json:"probes_lost,omitempty"`
}

// ServerRequest asks for a change of one server. With ClientID and Seq it is idempotent.
type ServerRequest struct {
	Server          string             `json:"server"`
	Action          string             `json:"verb"` // drain, undrain, remove, add, change, weight
	Force           bool               `json:"force,omitempty"`
	Weight          float64            `json:"weight,omitempty"`
	Spec            *config.ServerSpec `json:"spec,omitempty"`
	ExpectedVersion uint64             `json:"if,omitempty"` // the server's version that was read; 0: any
	ClientID        string             `json:"client,omitempty"`
	Seq             uint64             `json:"seq,omitempty"` // of the requests of ClientID
}

// ServerResponse is the result of a ServerRequest.
type ServerResponse struct {
	Scope           string   `json:"holds"` // where the change is in effect by now
	RestrictionID   string   `json:"order,omitempty"`
	Version         uint64   `json:"version,omitempty"`
	UncoveredShards []string `json:"bare,omitempty"` // shards that a forced request left without a replica
}
