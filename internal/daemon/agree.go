package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"linkpass/internal/adminapi"
	"linkpass/internal/config"
	"linkpass/internal/config/restriction"
	"linkpass/internal/config/rollback"
	"linkpass/internal/coordinator"
	"linkpass/internal/discovery"
	"linkpass/internal/endpoints"
	"linkpass/internal/http1"
	"linkpass/internal/store"
)

// ordersPath is where instances tell each other of orders, beside the log.
const ordersPath = "/_linkpass/orders"

// versionPath tells the version of the state as this instance has it.
const versionPath = "/_linkpass/version"

// marksPath is where instances tell each other how far they are.
const marksPath = "/_linkpass/marks"

// tellMark reports to another instance how far this one is.
func tellMark(ctx context.Context, m store.Member, r rollback.Report) error {
	body, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("marks: %w", err)
	}
	said, err := callPeer(ctx, m.HTTP, "POST", marksPath, body)
	if errors.Is(err, errConflict) {
		err = fmt.Errorf("%w (%s)", rollback.ErrRolledBack, strings.TrimSpace(string(said)))
	}
	return err
}

// hearMark takes another instance's report.
func (p *Program) hearMark(req *http1.Request) *http1.Response {
	var r rollback.Report
	if err := json.Unmarshal(req.Body, &r); req.Method != "POST" || err != nil || r.ID == "" {
		p.count.Add("position_reports_malformed", 1)
		return &http1.Response{Status: 400, Body: []byte("this is no report\n")}
	}
	if err := p.Store().ObservePosition(r); err != nil {
		p.count.Add("position_reports_rejected", 1)
		return &http1.Response{Status: 409, Body: []byte(err.Error() + "\n")}
	}
	return &http1.Response{Status: 200}
}

// openAgreement makes what keeps the list by discovery and by what instances agree on; without a store there is none.
func (p *Program) openAgreement() error {
	c := p.cfg.Search.Store
	if p.cfg.Search.Listen == "" || c.ID == "" {
		return nil
	}
	reader := p.listReader()
	spread := map[string]func(context.Context, []restriction.Request) error{}
	for _, m := range c.Members {
		if m.ID != c.ID {
			spread[m.ID] = tellOrders(c.ID, m.HTTP)
		}
	}
	p.agreement = endpoints.New(endpoints.Config{InstanceID: c.ID, Incarnation: uint64(time.Now().UnixNano()), OnUpdate: p.listeners().UpdateEndpoints, Broadcast: spread, Counters: p.count,
		ResolveEndpoint: func(id string, s config.ServerSpec) (coordinator.Endpoint, error) {
			l, err := reader.List(discovery.Document{Servers: []discovery.Server{{ID: id, Addr: s.Addr, Zone: s.Zone, Kind: s.Kind, Cell: s.Cell, State: "in_service", Weight: 1}}})
			if err != nil {
				return coordinator.Endpoint{}, err
			}
			return l.Endpoints[0], nil
		}})
	return nil
}

func (p *Program) runAgreement(ctx context.Context) {
	if p.agreement != nil {
		p.agreement.Run(ctx)
	}
}

// agreedList is the core as discovery's watcher sees it where instances agree on the list too.
type agreedList struct {
	*coordinator.Core
	agreement *endpoints.Registry
}

// UpdateEndpoints hands discovery's news to the agreement, which hands on the list's.
func (l agreedList) UpdateEndpoints(news coordinator.EndpointUpdate) {
	l.agreement.UpdateEndpoints(news)
}

// tellOrders makes what tells the instance at an address of orders.
func tellOrders(me, addr string) func(context.Context, []restriction.Request) error {
	return func(ctx context.Context, orders []restriction.Request) error {
		body, err := json.Marshal(orders)
		if err != nil {
			return fmt.Errorf("orders: %w", err)
		}
		_, err = callPeer(ctx, addr, "POST", ordersPath+"?from="+me, body)
		return err
	}
}

// callPeer makes one call at another instance within the context's time.
func callPeer(ctx context.Context, addr, method, path string, body []byte) ([]byte, error) {
	nc, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	defer nc.Close()
	if end, ok := ctx.Deadline(); ok {
		if err := nc.SetDeadline(end); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
	}
	if err := http1.WriteRequest(nc, method, path, addr, nil, body); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	res, err := http1.NewReader(nc, 0).Response()
	switch {
	case err != nil:
		return nil, fmt.Errorf("%s at %s: %w", path, addr, err)
	case res.Status == 409:
		return res.Body, fmt.Errorf("%s at %s: %w", path, addr, errConflict)
	case res.Status != 200:
		return nil, fmt.Errorf("%s at %s: status %d", path, addr, res.Status)
	}
	return res.Body, nil
}

// errConflict is an answer 409; its body says why.
var errConflict = errors.New("status 409")

const memberLimit = 2 * time.Second // for a learner to say how far it is, and for members to answer

// ChangeMember changes the instances of the store.
func (p *Program) ChangeMember(o adminapi.MemberRequest) error {
	st := p.Store()
	if st == nil {
		return adminapi.ErrNoStore
	}
	ctx, cancel := context.WithTimeout(context.Background(), memberLimit)
	defer cancel()
	switch o.Action {
	case "join":
		return st.AddLearner(store.Member{ID: o.ID, Raft: o.Raft, HTTP: o.HTTP})
	case "promote":
		return st.PromoteLearner(o.ID, func(m store.Member, version uint64) error {
			text, err := callPeer(ctx, m.HTTP, "GET", versionPath, nil)
			if err != nil {
				return err
			}
			if has, err := strconv.ParseUint(string(text), 10, 64); err != nil || has < version {
				return fmt.Errorf("it is at version %.20q of %d", text, version)
			}
			return nil
		})
	case "leave":
		return st.RemoveMember(ctx, o.ID)
	}
	return fmt.Errorf("%w: no such order: %.40q", store.ErrUnknownMember, o.Action)
}

const maxOrdersBody = 64 << 10 // bytes of one call

// hearing is the search front, and beside it what other instances call.
func (p *Program) hearing(front http1.Handler) http1.Handler {
	return http1.HandlerFunc(func(ctx context.Context, began time.Duration, req *http1.Request) *http1.Response {
		if p.agreement != nil && req.Path == versionPath && req.Method == "GET" {
			return &http1.Response{Status: 200, Body: strconv.AppendUint(nil, p.Store().State().Version(), 10)}
		}
		if p.agreement != nil && req.Path == marksPath {
			return p.hearMark(req)
		}
		if req.Path != ordersPath || p.agreement == nil {
			return front.Serve(ctx, began, req)
		}
		var orders []restriction.Request
		err := json.Unmarshal(req.Body, &orders)
		if req.Method != "POST" || err != nil || len(req.Body) > maxOrdersBody || len(orders) > restriction.MaxPending {
			p.count.Add("restrictions_malformed", 1)
			return &http1.Response{Status: 400, Body: []byte("these are no orders\n")}
		}
		members := p.Store().Members()
		known := len(orders)
		// Guards the state against orders of instances that never were: what the log decides of each is kept.
		orders = slices.DeleteFunc(orders, func(o restriction.Request) bool { return !among(members, o.ID.Origin.Instance) })
		p.count.Add("restrictions_malformed", int64(known-len(orders)))
		from := "another instance"
		if id, ok := cutFrom(req.Query); ok && among(members, id) {
			from = id
		}
		if err := p.agreement.ReceiveRestrictions(from, orders); err != nil {
			return &http1.Response{Status: 503, Body: []byte(err.Error() + "\n")}
		}
		return &http1.Response{Status: 200}
	})
}

func cutFrom(query string) (id string, ok bool) {
	const key = "from="
	if len(query) < len(key) || query[:len(key)] != key {
		return "", false
	}
	return query[len(key):], true
}

func among(members []store.Member, id string) bool {
	return slices.ContainsFunc(members, func(m store.Member) bool { return m.ID == id })
}

// ReplicatedState tells what is agreed of servers, and what is not settled yet.
func (p *Program) ReplicatedState() (out adminapi.ReplicatedState, err error) {
	st := p.Store()
	if st == nil {
		return out, adminapi.ErrNoStore
	}
	s := st.State()
	out.Version, out.Servers = s.Version(), map[string]config.Server{}
	for _, id := range s.ServerIDs() {
		out.Servers[id], _ = s.Server(id)
	}
	out.Removed, out.Rejected, out.Pending = s.RemovedIDs(), s.RejectedRestrictions(), p.agreement.PendingRestrictions()
	if out.Hash, err = s.Hash(); err != nil {
		return out, err
	}
	return out, nil
}

// ChangeServer does what an operator wants of a server. Drains and removals hold here at once and wait for nobody; all else
// holds once a majority has it.
func (p *Program) ChangeServer(o adminapi.ServerRequest) (out adminapi.ServerResponse, err error) {
	st := p.Store()
	if st == nil {
		return out, adminapi.ErrNoStore
	}
	c := config.Command{Server: o.Server, ClientID: o.ClientID, Seq: o.Seq, ExpectedVersion: o.ExpectedVersion}
	switch o.Action {
	case "drain", "remove":
		kind := restriction.Draining
		if o.Action == "remove" {
			kind = restriction.Removed
		}
		order, err := p.agreement.Restrict(o.Server, kind, o.Force)
		if err != nil {
			return out, err
		}
		return adminapi.ServerResponse{Scope: "here, and wherever it is heard; the log settles it", RestrictionID: order.ID.String()}, nil
	case "undrain":
		c.Kind = config.UndrainServer
		for _, open := range p.agreement.PendingRestrictions() {
			if open.Server == o.Server && open.Level == restriction.Draining {
				c.WithdrawnIDs = append(c.WithdrawnIDs, open.ID)
			}
		}
	case "add", "change":
		if c.Kind = config.AddServer; o.Action == "change" {
			c.Kind = config.UpdateServer
		}
		c.Spec = o.Spec
		if o.Spec != nil && o.Spec.Cell >= p.cfg.module.Cells {
			return out, &endpoints.RejectedError{Result: config.Result{Reason: config.Invalid, Detail: fmt.Sprintf("there are %d cells", p.cfg.module.Cells)}}
		}
	case "weight":
		c.Kind, c.Weight = config.SetServerWeight, o.Weight
	default:
		return out, &endpoints.RejectedError{Result: config.Result{Reason: config.Invalid, Detail: fmt.Sprintf("no such order: %.40q", o.Action)}}
	}
	r, err := st.Propose(c)
	var other *store.NotLeader
	if err == nil && r.Reason != config.Applied {
		err = &endpoints.RejectedError{Result: r}
	} else if errors.As(err, &other) {
		err = fmt.Errorf("%w; ask there", err)
	}
	return adminapi.ServerResponse{Scope: "everywhere", Version: r.Version, UncoveredShards: r.UncoveredShards}, err
}
