// Package adminapi is the operators' API of a running coordinator: its types, the handler that
// serves it and the client that asks it. It decides nothing.
package adminapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/textproto"
	"net/url"
	"strings"
	"time"

	"linkpass/internal/endpoints"
	"linkpass/internal/eventlog"
	"linkpass/internal/http1"
	"linkpass/internal/searchconfig"
	"linkpass/internal/shardmap"
	"linkpass/internal/store"
)

// Version of the API; it is the first step of every path.
const Version = "/v1"

// Status is how a coordinator stands. Fields are only ever added.
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

// ClassStatus counts a class's final answers.
type ClassStatus struct {
	Name     string `json:"name"`
	Served   int64  `json:"served"`
	Rejected int64  `json:"refused"`
	Failed   int64  `json:"failed"`
}

// BodyStatus is what the store of bodies holds, in bodies and bytes.
type BodyStatus struct {
	Stored   int   `json:"held"`
	Shared   int   `json:"shared"`
	Arriving int   `json:"arriving"`
	Waiting  int   `json:"waiting"`
	Memory   int64 `json:"memory"`
	Files    int64 `json:"files"`
	Disk     int64 `json:"disk"`
}

// ShardMapSummary is an index whose slices can move.
type ShardMapSummary struct {
	Index   string `json:"index"`
	Version uint64 `json:"version"`
	Shards  int    `json:"slices"`
	Plans   int    `json:"plans"`
}

// IndexShardMap is the layout of an index, as far as it can be drawn.
type IndexShardMap struct {
	Index   string           `json:"index"`
	Version uint64           `json:"version"`
	Total   int              `json:"total"`  // slices
	Shards  []shardmap.Shard `json:"slices"` // the first MaxSlices of them, in the order of their keys
	Plans   []shardmap.Plan  `json:"plans,omitempty"`
}

// MaxShards bounds the slices, and the open plans, that are told of an index.
const MaxShards = 500

// StoreStatus is how the replicated store stands here.
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

// Server is what the module believes of a league server.
type Server struct {
	Name                   string             `json:"name"`
	State                  string             `json:"state"` // in_service, draining
	Excluded               string             `json:"avoided,omitempty"`
	InFlight               int                `json:"out"` // parts of this coordinator
	MedianMS               float64            `json:"median_ms"`
	Health                 map[string]float64 `json:"health"` // by class, 1: sound
	WarmingUp              bool               `json:"cold,omitempty"`
	ConsecutiveProbeLosses int                `json:"probes_lost,omitempty"`
}

// Setting is one key as it holds, and where it came from.
type Setting struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Source string `json:"source"`
}

// ReloadResult is what a reload came to: keys of the operators' file that differ from what runs.
type ReloadResult struct {
	Applied      []string `json:"held,omitempty"`       // they hold now
	NeedsRestart []string `json:"waiting,omitempty"`    // they wait for a start
	Replicated   []string `json:"replicated,omitempty"` // the store says what holds: they are only its first document
}

// Backup is a document of the store as it is kept outside of it.
type Backup struct {
	Format   int             `json:"format"`
	Taken    time.Time       `json:"taken"`
	Revision uint64          `json:"revision"`
	Sum      string          `json:"sum"` // BLAKE3 of the document
	Document json.RawMessage `json:"document"`
}

// Coordinator is what the API tells of and orders.
type Coordinator interface {
	Status() Status
	Servers() ([]Server, error)
	Drain() string
	Activate() string
	Settings() []Setting
	ShardMaps() []IndexShardMap
	ReplicatedState() (ReplicatedState, error)
	ChangeMember(MemberRequest) error
	ChangeServer(ServerRequest) (ServerResponse, error)
	Reload() (ReloadResult, error)
	Store() *store.Store   // nil: there is none
	Search() http1.Handler // nil: there is none
}

// ErrCoreBusy says that the core did not answer in time.
var ErrCoreBusy = errors.New("the core did not answer in time")

// Handler serves the API.
type Handler struct{ Coordinator }

type failure struct {
	Error string `json:"error"`
}

// Serve answers one call.
func (h Handler) Serve(ctx context.Context, began time.Duration, req *http1.Request) *http1.Response {
	path, ok := strings.CutPrefix(req.Path, Version+"/")
	if !ok {
		return fail(404, fmt.Errorf("no such call %.80q; this is version %s of the API", req.Path, Version))
	}
	if front, ok := strings.CutPrefix(path, "search/"); ok {
		return h.front(ctx, began, front, req)
	}
	switch req.Method + " " + path {
	case "GET status":
		return reply(h.Status())
	case "GET servers":
		list, err := h.Servers()
		if err != nil {
			return fail(503, err)
		}
		return reply(list)
	case "GET servers/agreed":
		told, err := h.ReplicatedState()
		if err != nil {
			return storeFail(err)
		}
		return reply(told)
	case "PUT servers/order":
		return h.order(req)
	case "PUT store/members":
		return h.member(req)
	case "GET layouts":
		return reply(h.ShardMaps())
	case "PUT drain":
		return reply(map[string]string{"state": h.Drain()})
	case "PUT activate":
		return reply(map[string]string{"state": h.Activate()})
	case "GET config":
		return reply(h.Settings())
	case "PUT config/reload":
		told, err := h.Reload()
		if err != nil {
			return fail(409, err)
		}
		return reply(told)
	case "GET log":
		return reply(eventlog.Levels())
	case "GET store/document", "GET store/backup", "PUT store/document":
		return h.document(path, req)
	}
	if part, ok := strings.CutPrefix(path, "log/"); ok && req.Method == "PUT" {
		if err := eventlog.SetLevel(part, string(req.Body)); err != nil {
			return fail(400, err)
		}
		eventlog.LogLevel.Log(part, string(req.Body))
		return reply(eventlog.Levels())
	}
	return fail(404, fmt.Errorf("no such call: %s %.80q", req.Method, req.Path))
}

// front hands a call on to the search front.
func (h Handler) front(ctx context.Context, began time.Duration, path string, req *http1.Request) *http1.Response {
	f := h.Search()
	if f == nil {
		return fail(409, errors.New("there is no search front here"))
	}
	on := *req
	on.Path = "/" + path
	return f.Serve(ctx, began, &on)
}

// document reads or replaces the store's document.
func (h Handler) document(path string, req *http1.Request) *http1.Response {
	s := h.Store()
	if s == nil {
		return fail(409, errors.New("there is no store here"))
	}
	if req.Method == "PUT" {
		return restore(s, req)
	}
	params, err := url.ParseQuery(req.Query)
	if err != nil {
		return fail(400, err)
	}
	how, err := store.ParseReadOptions(params)
	if err != nil {
		return fail(400, err)
	}
	c, err := s.ReadWith(how)
	if err != nil {
		return storeFail(err)
	}
	data, err := json.Marshal(c)
	if err != nil {
		return fail(500, err)
	}
	if path == "store/document" {
		return &http1.Response{Status: 200, Body: data, Header: textproto.MIMEHeader{"Content-Type": {"application/json"}}}
	}
	return reply(Backup{Format: 1, Taken: time.Now().UTC(), Revision: c.Revision, Sum: sum(data), Document: data})
}

// restore replaces the document by a backup's, or only tells whether it could.
func restore(s *store.Store, req *http1.Request) *http1.Response {
	doc, err := ReadBackup(req.Body)
	if err != nil {
		return fail(400, err)
	}
	if strings.Contains(req.Query, "check=true") {
		return reply(map[string]any{"ok": true, "indices": len(doc.Indices), "servers": len(doc.Servers)})
	}
	kept := 0
	now, err := s.UpdateSettings(func(now *searchconfig.Config) (*searchconfig.Config, error) {
		next := doc
		for name := range doc.Indices { // where the slices lie now, no backup can know
			if l := now.ShardMap(name); l != nil && doc.ShardMap(name) != nil {
				next, kept = next.WithShardMap(name, l), kept+1
			}
		}
		return next, nil
	})
	if err != nil {
		return storeFail(err)
	}
	return reply(map[string]any{"ok": true, "revision": now.Revision, "layouts_kept": kept})
}

// ReadBackup reads a backup and checks that it is whole and can be used.
func ReadBackup(data []byte) (*searchconfig.Config, error) {
	var b Backup
	if err := json.Unmarshal(data, &b); err != nil {
		return nil, fmt.Errorf("backup: %w", err)
	}
	if b.Format != 1 {
		return nil, fmt.Errorf("backup: format %d is not known here", b.Format)
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, b.Document); err != nil {
		return nil, fmt.Errorf("backup: %w", err)
	}
	if got := sum(compact.Bytes()); got != b.Sum {
		return nil, fmt.Errorf("backup: its sum is %.16s…, it says %.16s…: it was changed or cut", got, b.Sum)
	}
	doc, err := searchconfig.Parse(compact.Bytes())
	if err != nil {
		return nil, fmt.Errorf("backup: %w", err)
	}
	return doc, nil
}

func storeFail(err error) *http1.Response {
	var other *store.NotLeader
	if errors.As(err, &other) {
		return fail(421, fmt.Errorf("%w; ask there", err))
	}
	var refused *endpoints.RejectedError
	if errors.As(err, &refused) || errors.Is(err, ErrNoStore) ||
		errors.Is(err, store.ErrUnknownMember) || errors.Is(err, store.ErrQuorumAtRisk) || errors.Is(err, store.ErrLearnerBehind) {
		return fail(409, err)
	}
	switch {
	case errors.Is(err, store.ErrTooLarge):
		return fail(413, err)
	case errors.Is(err, store.ErrBusy):
		return fail(429, err)
	}
	return fail(503, err)
}

func reply(v any) *http1.Response {
	data, err := json.Marshal(v)
	if err != nil {
		return fail(500, err)
	}
	return &http1.Response{Status: 200, Body: data, Header: textproto.MIMEHeader{"Content-Type": {"application/json"}}}
}

func fail(status int, err error) *http1.Response {
	data, _ := json.Marshal(failure{err.Error()}) // a string always encodes
	return &http1.Response{Status: status, Body: data, Header: textproto.MIMEHeader{"Content-Type": {"application/json"}}}
}
