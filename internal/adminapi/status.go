package adminapi

// Status is the state of a coordinator. New versions of the API may add fields, but do not change or remove any.
type Status struct {
	Name            string            `json:"name"`
	Program         string            `json:"program"` // version of the program
	PID             int               `json:"pid"`
	State           string            `json:"state"`     // starting, serving, drained or ending
	UptimeS         float64           `json:"uptime_s"`  // seconds since the start of the process
	Core            string            `json:"core"`      // ok, or busy if the event loop did not answer in time
	InFlight        int64             `json:"in_flight"` // queries that have not ended yet
	Attempts        int64             `json:"attempts"`  // attempts written completely to league servers
	ServersKnown    int64             `json:"servers_known"`
	ServersExcluded int64             `json:"servers_avoided"` // draining, unreachable or ejected for all classes
	Classes         []ClassStatus     `json:"classes"`
	Bodies          *BodyStatus       `json:"bodies,omitempty"`          // nil: there is no body store
	ShardMaps       []ShardMapSummary `json:"layouts,omitempty"`         // of the indices that have one, by name
	Store           *StoreStatus      `json:"store,omitempty"`           // nil: there is no replicated store
	Fronts          []string          `json:"fronts"`                    // listen addresses of the fronts
	AdminListen     string            `json:"operator_listen,omitempty"` // address of this API over TCP; "": none
	ResidentKB      int64             `json:"resident_kb,omitempty"`     // resident memory, in KiB; 0: unknown
}

// ClassStatus counts the final responses of a query class since the start of the process.
type ClassStatus struct {
	Name     string `json:"name"`
	Served   int64  `json:"served"`
	Rejected int64  `json:"refused"`
	Failed   int64  `json:"failed"`
}

// BodyStatus describes the contents of the body store.
type BodyStatus struct {
	Stored   int   `json:"held"`     // number of bodies
	Shared   int   `json:"shared"`   // number of references beyond the first of each body
	Arriving int   `json:"arriving"` // bodies that have not arrived completely
	Waiting  int   `json:"waiting"`  // bodies that a part still to be sent needs
	Memory   int64 `json:"memory"`   // bytes of bodies in memory
	Files    int64 `json:"files"`    // bytes of bodies in files
	Disk     int64 `json:"disk"`     // bytes of segment files on disk
}

// ShardMapSummary summarizes the shard map of an index whose shards can be moved.
type ShardMapSummary struct {
	Index   string `json:"index"`
	Version uint64 `json:"version"`
	Shards  int    `json:"slices"` // number of shards
	Plans   int    `json:"plans"`  // number of open plans
}

// StoreStatus is the state of the replicated store as this instance sees it.
type StoreStatus struct {
	ID       string        `json:"id"`       // of this instance
	Leader   string        `json:"leader"`   // id of the leader; "": no leader is known
	Revision uint64        `json:"revision"` // of the settings document
	Members  []StoreMember `json:"members"`
}

// StoreMember is one instance of the replicated store.
type StoreMember struct {
	ID     string `json:"id"`
	Raft   string `json:"raft"` // address for Raft traffic
	HTTP   string `json:"http"` // address of the search front
	Leader bool   `json:"leader"`
}
