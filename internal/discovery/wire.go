package discovery

import (
	"encoding/json"
	"fmt"

	"linkpass/internal/routing"
)

// Values of Endpoint.State.
const (
	StateInService   = "in_service"
	StateTerminating = "terminating"
	StateTerminated  = "terminated"
)

// endpointStates maps the values of Endpoint.State to the states of the routing package.
var endpointStates = map[string]routing.EndpointState{
	StateInService:   routing.Ready,
	StateTerminating: routing.Draining,
	StateTerminated:  routing.Removed,
}

// EndpointList is discovery's response: the complete endpoint list, or the changes since a version.
type EndpointList struct {
	Version   int64      `json:"version"` // grows with each change; 0 is a valid version
	Full      bool       `json:"full"`    // the list is complete; otherwise it has only the changed endpoints
	Endpoints []Endpoint `json:"servers"`
}

// Endpoint is one server of an EndpointList.
type Endpoint struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"` // host:port
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`  // from 0
	State     string  `json:"state"` // StateInService, StateTerminating or StateTerminated
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"` // when the server's process started, in milliseconds of Unix time
}

// Parse decodes a list. The error wraps that of encoding/json.
func Parse(data []byte) (EndpointList, error) {
	var list EndpointList
	if err := json.Unmarshal(data, &list); err != nil {
		return EndpointList{}, fmt.Errorf("discovery: %w", err)
	}
	return list, nil
}

const listPath = "/registry/instances"

// target returns the HTTP request target for the complete list, or for a long poll for the changes since a version.
func (r listRequest) target() string {
	if r.version == noVersion {
		return listPath
	}
	return fmt.Sprintf("%s?after=%d&wait_ms=%d", listPath, r.version, r.wait.Milliseconds())
}
