package adminapi

// Status is the state of a coordinator. Fields are only ever added.
type Status struct {
	Name            string            `json:"name"`
	Program         string            `json:"program"` // its version
	PID             int               `json:"pid"`
	State           string            `json:"state"` // starting, serving, drained, ending
	UptimeS         float64           `json:"uptime_s"`
	Core            string            `json:"core"` // ok, or busy: it did not answer in time
	InFlight        int64             `json:"in_flight"`
	Attempts        int64             `json:"attempts"`
	ServersKnown    int64             `json:"servers_known"`
	ServersExcluded int64             `json:"servers_avoided"`
	Classes         []ClassStatus     `json:"classes"`
	Bodies          *BodyStatus       `json:"bodies,omitempty"`
	ShardMaps       []ShardMapSummary `json:"layouts,omitempty"`
	Store           *StoreStatus      `json:"store,omitempty"`
	Fronts          []string          `json:"fronts"`                    // addresses
	AdminListen     string            `json:"operator_listen,omitempty"` // address of this API over TCP
	ResidentKB      int64             `json:"resident_kb,omitempty"`
}

// ClassStatus counts the final responses of a query class.
type ClassStatus struct {
	Name     string `json:"name"`
	Served   int64  `json:"served"`
	Rejected int64  `json:"refused"`
	Failed   int64  `json:"failed"`
}

// BodyStatus is the contents of the body store, in bodies and bytes.
type BodyStatus struct {
	Stored   int   `json:"held"`
	Shared   int   `json:"shared"`
	Arriving int   `json:"arriving"`
	Waiting  int   `json:"waiting"`
	Memory   int64 `json:"memory"`
	Files    int64 `json:"files"`
	Disk     int64 `json:"disk"`
}

// ShardMapSummary is an index whose shards can be moved.
type ShardMapSummary struct {
	Index   string `json:"index"`
	Version uint64 `json:"version"`
	Shards  int    `json:"slices"`
	Plans   int    `json:"plans"`
}

// StoreStatus is the replicated store as this instance sees it.
type StoreStatus struct {
	ID       string        `json:"id"`
	Leader   string        `json:"leader"` // "": none is known
	Revision uint64        `json:"revision"`
	Members  []StoreMember `json:"members"`
}

// StoreMember is one instance of the store.
type StoreMember struct {
	ID     string `json:"id"`
	Raft   string `json:"raft"`
	HTTP   string `json:"http"`
	Leader bool   `json:"leader"`
}
