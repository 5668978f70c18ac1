package routing

import "time"

// Event is something that the coordinator learned since the last turn.
type Event interface{ event() }

// ServerID names a server. It carries no meaning beyond identity and order.
type ServerID uint64

// RequestID names a query or one of its parts.
type RequestID uint64

// EndpointState is the state of a listed server.
type EndpointState uint8

// The states of a listed server.
const (
	Draining EndpointState = iota // takes no new work
	Ready
	Removed
)

// String is the state's name for logs and tests.
func (s EndpointState) String() string {
	return [...]string{Draining: "draining", Ready: "ready", Removed: "removed"}[s]
}

// Endpoint is one server of the endpoint list.
type Endpoint struct {
	Server    ServerID
	Zone      int
	Kind      int
	Cell      int // replica placement group
	State     EndpointState
	Weight    float64       // its size in requests at a time, where Settings.WeightsAreCapacities
	StartedAt time.Duration // clock time of its last start; 0: long ago
}

// UpdateMode says how an EndpointUpdate is to be read.
type UpdateMode uint8

// The modes of an EndpointUpdate.
const (
	UpdateDelta  UpdateMode = iota // changed endpoints only
	UpdateFull                     // the complete list
	UpdateCached                   // the complete list as last held; it may be out of date
	UpdateFailed                   // a call to discovery failed, or the subscription broke
)

// EndpointUpdate is a watch event of the endpoint list.
type EndpointUpdate struct {
	Mode      UpdateMode
	Endpoints []Endpoint
}

// Arrival is a new query (Shard below 0) or, after its query and in the same turn, one of its parts.
type Arrival struct {
	ID           RequestID
	Shard        int
	Timeout      time.Duration // after which the client abandons the query
	Class        int           // index into Settings.Classes
	IsRetry      bool          // the client repeats a query
	ExpectedWork time.Duration // 0: unknown
	Key          uint64        // 0: none
	Weight       float64       // of a part: its share of the answer, 0 to 1; of a query: its number of parts
	QueryNumber  uint64        // ties parts to their query
	Tenant       int           // index into Settings.Tenants; beyond them: none
}

// Code is the result of an attempt or a health check.
type Code uint8

// The result codes.
const (
	OK            Code = iota
	ServerError        // may have run
	Overloaded         // never ran
	TimedOut           // may have run
	ConnectFailed      // never ran
	ConnReset          // may have run
	Canceled           // may have run
	NotSent            // never written
	ShardMoved         // never ran; a PartsReplaced follows in the same turn
)

// mayHaveRun tells whether an attempt that ended with the code may have had its effect.
func (c Code) mayHaveRun() bool {
	switch c {
	case Overloaded, ConnectFailed, NotSent, ShardMoved:
		return false
	default:
		return true
	}
}

// StreamStarted says that the answer of a stream has begun. The router serves no streams and ignores it.
type StreamStarted struct {
	ID      RequestID
	Attempt int
}

// AttemptResult ends an attempt.
type AttemptResult struct {
	ID         RequestID // of the part
	Attempt    int
	Server     ServerID
	Code       Code
	Latency    time.Duration
	Final      bool
	LoadReport []float64 // in the order of Settings.ReportFields; empty: none
}

// ClientDisconnected says that the client of a query has left.
type ClientDisconnected struct{ ID RequestID }

// TimerFired says that a timer of SetTimer is due. It only causes a turn.
type TimerFired struct{ Token uint64 }

// HealthCheckResult answers a HealthCheck.
type HealthCheckResult struct {
	Server     ServerID
	Code       Code
	Latency    time.Duration
	LoadReport []float64 // in the order of Settings.ReportFields; empty: none
}

// CapacityChange sets how many queries and parts the coordinator may hold from now on, as when another
// process of it holds the rest.
type CapacityChange struct{ MaxOpen int }

// WarmUp asks for a health check of every server, before the first client comes.
type WarmUp struct{}

// ShardPlacement names the replicas of a shard in place of those that follow from its cells. No servers: the
// shard has no placement of its own any more.
type ShardPlacement struct {
	Shard   int
	Servers []ServerID
}

// PartsReplaced says that parts of an open query whose shards have moved are replaced by others, which ask
// for the same data. The new parts are admitted with their query. They start with the most attempts that any
// of the replaced parts had, less the last one, which the move made void.
type PartsReplaced struct {
	IDs            []RequestID
	Parts          []Arrival
	ReceivedWeight float64 // weight of the replaced parts that has been answered by a subrange
}

// BodyEvicted says that a part's request body is not stored any more, so that no further attempt can be made.
type BodyEvicted struct{ ID RequestID }

// GossipMessage is a message from another coordinator. The router sends none and ignores them.
type GossipMessage struct {
	From int
	Data []byte
}

func (EndpointUpdate) event()     {}
func (Arrival) event()            {}
func (StreamStarted) event()      {}
func (AttemptResult) event()      {}
func (ClientDisconnected) event() {}
func (TimerFired) event()         {}
func (HealthCheckResult) event()  {}
func (CapacityChange) event()     {}
func (WarmUp) event()             {}
func (ShardPlacement) event()     {}
func (PartsReplaced) event()      {}
func (BodyEvicted) event()        {}
func (GossipMessage) event()      {}
