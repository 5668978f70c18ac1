package routing

import "time"

// Event is an input to the router: something that happened at the coordinator since the previous turn.
type Event interface{ event() }

// ServerID identifies a server. It has no meaning beyond identity and order.
type ServerID uint64

// RequestID identifies a query or one of its parts.
type RequestID uint64

// EndpointState is the state of a listed server.
type EndpointState uint8

// The states of a listed server.
const (
	Draining EndpointState = iota // takes no new work
	Ready
	Removed
)

// String returns the state's name for logs and tests.
func (s EndpointState) String() string {
	return [...]string{Draining: "draining", Ready: "ready", Removed: "removed"}[s]
}

// Endpoint is one server of the endpoint list.
type Endpoint struct {
	Server    ServerID
	Zone      int
	Kind      int // not used by the rules
	Cell      int // replica placement group
	State     EndpointState
	Weight    float64       // concurrent requests it can serve, if Settings.WeightsAreCapacities is set
	StartedAt time.Duration // clock time of its last start; 0: long ago
}

// UpdateMode is the kind of an EndpointUpdate.
type UpdateMode uint8

// The modes of an EndpointUpdate.
const (
	UpdateDelta  UpdateMode = iota // changed endpoints only
	UpdateFull                     // the complete list
	UpdateCached                   // the complete list as last known; it may be out of date
	UpdateFailed                   // a call to discovery failed, or the subscription broke
)

// EndpointUpdate is an update of the endpoint list from discovery.
type EndpointUpdate struct {
	Mode      UpdateMode
	Endpoints []Endpoint
}

// Arrival is a new query (Shard below 0) or, after its query and in the same turn, one of its parts.
type Arrival struct {
	ID           RequestID
	Shard        int
	Timeout      time.Duration // time after which the client abandons the query
	Class        int           // index into Settings.Classes
	IsRetry      bool          // the client repeats an earlier query; not used by the rules
	ExpectedWork time.Duration // 0: unknown; not used by the rules
	Key          uint64        // 0: none; not used by the rules
	Weight       float64       // of a part: its share of the answer, 0 to 1; of a query: its number of parts
	QueryNumber  uint64        // the same for a query and its parts
	Tenant       int           // index into Settings.Tenants; an index beyond them means no tenant
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

// mayHaveRun reports whether the server may have executed an attempt that ended with this code.
func (c Code) mayHaveRun() bool {
	switch c {
	case Overloaded, ConnectFailed, NotSent, ShardMoved:
		return false
	default:
		return true
	}
}

// StreamStarted reports that the first data of a streamed answer has arrived. The router does not support
// streams and ignores this event.
type StreamStarted struct {
	ID      RequestID
	Attempt int
}

// AttemptResult reports the end of an attempt. Results of unknown attempts are ignored.
type AttemptResult struct {
	ID         RequestID // of the part
	Attempt    int       // number of the attempt, from 0
	Server     ServerID
	Code       Code
	Latency    time.Duration // from the send to the result
	Final      bool          // the part has been answered; not used by the rules
	LoadReport []float64     // in the order of Settings.ReportFields; empty: none
}

// ClientDisconnected reports that the client of a query has disconnected. The router ends the query without
// a final action.
type ClientDisconnected struct{ ID RequestID }

// TimerFired reports that a timer set by SetTimer is due. It has no effect but to cause a turn.
type TimerFired struct{ Token uint64 }

// HealthCheckResult is the result of a HealthCheck.
type HealthCheckResult struct {
	Server     ServerID
	Code       Code
	Latency    time.Duration
	LoadReport []float64 // in the order of Settings.ReportFields; empty: none
}

// CapacityChange replaces Settings.MaxOpen from now on, for example when another process of the same
// coordinator holds some of the open queries. 0 means no limit.
type CapacityChange struct{ MaxOpen int }

// WarmUp requests health checks of all servers that may get attempts soon, before the first query arrives.
type WarmUp struct{}

// ShardPlacement sets the replicas of a shard explicitly, in place of those derived from its cells. An empty
// list of servers removes the explicit placement.
type ShardPlacement struct {
	Shard   int
	Servers []ServerID
}

// PartsReplaced replaces parts of an open query whose shards have moved by new parts that request the same
// data. The new parts are covered by the admission of their query. Their attempt count starts at the highest
// count of the replaced parts, without the last attempt, which had no effect because of the move.
type PartsReplaced struct {
	IDs            []RequestID // of the replaced parts
	Parts          []Arrival   // the new parts
	ReceivedWeight float64     // weight of the replaced parts that has been answered by a subrange
}

// BodyEvicted reports that the request body of a part is no longer stored, so that no further attempt can be
// made.
type BodyEvicted struct{ ID RequestID }

// GossipMessage is a message from another coordinator. The router sends none and ignores those it receives.
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
