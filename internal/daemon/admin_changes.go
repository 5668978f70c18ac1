package daemon

import (
	"context"
	"errors"
	"fmt"
	"time"

	"linkpass/internal/adminapi"
	"linkpass/internal/config"
	"linkpass/internal/config/restriction"
	"linkpass/internal/endpoints"
	"linkpass/internal/store"
)

const learnerTimeout = 2 * time.Second // from the start of a promotion until the learner has reported its version

// ReplicatedState returns what the replicated log has decided about servers, and the restrictions that are pending. The
// error is adminapi.ErrNoStore if there is no store.
func (b *adminBackend) ReplicatedState() (out adminapi.ReplicatedState, err error) {
	st := b.Store()
	if st == nil {
		return out, adminapi.ErrNoStore
	}
	s := st.State()
	out.Version, out.Servers = s.Version(), map[string]config.Server{}
	for _, id := range s.ServerIDs() {
		out.Servers[id], _ = s.Server(id)
	}
	out.Removed, out.Rejected = s.RemovedIDs(), s.RejectedRestrictions()
	out.Pending = b.registry.registry.PendingRestrictions()
	if out.Hash, err = s.Hash(); err != nil {
		return out, err
	}
	return out, nil
}

// ChangeMember changes the members of the store. The error is adminapi.ErrNoStore if there is no store.
func (b *adminBackend) ChangeMember(ctx context.Context, r adminapi.MemberRequest) error {
	st := b.Store()
	if st == nil {
		return adminapi.ErrNoStore
	}
	switch r.Action {
	case "join":
		return st.AddLearner(ctx, store.Member{ID: r.ID, Raft: r.Raft, HTTP: r.HTTP})
	case "promote":
		learnerCtx, cancel := context.WithTimeout(ctx, learnerTimeout)
		defer cancel()
		return st.PromoteLearner(ctx, r.ID, func(m store.Member, version uint64) error {
			return checkCaughtUp(learnerCtx, m, version)
		})
	case "leave":
		return st.RemoveMember(ctx, r.ID)
	}
	return fmt.Errorf("%w: no such order: %.40q", store.ErrUnknownMember, r.Action)
}

// checkCaughtUp returns an error unless the learner's state has reached a version.
func checkCaughtUp(ctx context.Context, m store.Member, version uint64) error {
	reached, err := memberVersion(ctx, m)
	if err != nil {
		return err
	}
	if reached < version {
		return fmt.Errorf("the learner is at version %d, not yet at %d", reached, version)
	}
	return nil
}

// ChangeServer changes a server at an operator's request. Drains and removals take effect on this instance at once and
// wait for no quorum. All other changes take effect once a majority has stored them. The error is adminapi.ErrNoStore
// if there is no store.
func (b *adminBackend) ChangeServer(
	ctx context.Context, r adminapi.ServerRequest,
) (adminapi.ServerResponse, error) {
	st := b.Store()
	if st == nil {
		return adminapi.ServerResponse{}, adminapi.ErrNoStore
	}
	switch r.Action {
	case "drain":
		return b.restrict(r, restriction.Draining)
	case "remove":
		return b.restrict(r, restriction.Removed)
	}
	command, err := b.serverCommand(r)
	if err != nil {
		return adminapi.ServerResponse{}, err
	}
	result, err := st.Propose(ctx, command)
	var notLeader *store.NotLeaderError
	if err == nil && result.Reason != config.Applied {
		err = &endpoints.RejectedError{Result: result}
	} else if errors.As(err, &notLeader) {
		err = fmt.Errorf("%w; ask there", err)
	}
	return adminapi.ServerResponse{Scope: "everywhere", Version: result.Version,
		UncoveredShards: result.UncoveredShards}, err
}

func (b *adminBackend) restrict(r adminapi.ServerRequest, level restriction.Level) (adminapi.ServerResponse, error) {
	pending, err := b.registry.registry.Restrict(r.Server, level, r.Force)
	if err != nil {
		return adminapi.ServerResponse{}, err
	}
	return adminapi.ServerResponse{Scope: "here, and wherever it is heard; the log settles it",
		RestrictionID: pending.ID.String()}, nil
}

// serverCommand returns the command to propose for a request that needs a quorum.
func (b *adminBackend) serverCommand(r adminapi.ServerRequest) (config.Command, error) {
	c := config.Command{Server: r.Server, ClientID: r.ClientID, Seq: r.Seq, ExpectedVersion: r.ExpectedVersion}
	switch r.Action {
	case "undrain":
		c.Kind = config.UndrainServer
		for _, pending := range b.registry.registry.PendingRestrictions() {
			if pending.Server == r.Server && pending.Level == restriction.Draining {
				c.WithdrawnIDs = append(c.WithdrawnIDs, pending.ID)
			}
		}
	case "add", "change":
		c.Kind, c.Spec = config.AddServer, r.Spec
		if r.Action == "change" {
			c.Kind = config.UpdateServer
		}
		if r.Spec != nil && r.Spec.Cell >= b.cfg.routingSettings.Cells {
			return c, invalidRequest("cell %d does not exist: there are %d cells", r.Spec.Cell, b.cfg.routingSettings.Cells)
		}
	case "weight":
		c.Kind, c.Weight = config.SetServerWeight, r.Weight
	default:
		return c, invalidRequest("no such order: %.40q", r.Action)
	}
	return c, nil
}

// invalidRequest returns the error of a request that is rejected with the reason config.Invalid.
func invalidRequest(format string, args ...any) error {
	return &endpoints.RejectedError{Result: config.Result{Reason: config.Invalid, Detail: fmt.Sprintf(format, args...)}}
}
