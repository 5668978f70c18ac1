package adminapi

import (
	"encoding/json"
	"errors"
	"fmt"

	"linkpass/internal/config"
	"linkpass/internal/config/restriction"
	"linkpass/internal/http1"
)

// ErrNoStore says that there is nothing to agree on here.
var ErrNoStore = errors.New("there is no store here")

// ReplicatedState is what instances agree on of servers.
type ReplicatedState struct {
	Version  uint64                       `json:"version"`
	Hash     string                       `json:"hash"` // the same at every instance of the same version
	Servers  map[string]config.Server     `json:"servers"`
	Removed  []string                     `json:"removed,omitempty"`
	Pending  []restriction.Request        `json:"unsettled,omitempty"` // hold here; the log has not decided them yet
	Rejected []config.RejectedRestriction `json:"withdrawn,omitempty"`
}

// ServerRequest is what an operator wants of a server.
type ServerRequest struct {
	Server          string             `json:"server"`
	Action          string             `json:"verb"` // drain, undrain, remove, add, change, weight
	Force           bool               `json:"force,omitempty"`
	Weight          float64            `json:"weight,omitempty"`
	Spec            *config.ServerSpec `json:"spec,omitempty"`
	ExpectedVersion uint64             `json:"if,omitempty"` // the server's version that was read; 0: any
	ClientID        string             `json:"client,omitempty"`
	Seq             uint64             `json:"seq,omitempty"` // with Client: asked again, it is done once
}

// ServerResponse is what became of it.
type ServerResponse struct {
	Scope           string   `json:"holds"` // where, by now
	RestrictionID   string   `json:"order,omitempty"`
	Version         uint64   `json:"version,omitempty"`
	UncoveredShards []string `json:"bare,omitempty"` // slices that a forced order left without a holder
}

// order takes one order.
func (h Handler) order(req *http1.Request) *http1.Response {
	var o ServerRequest
	if err := json.Unmarshal(req.Body, &o); err != nil {
		return fail(400, fmt.Errorf("an order: %w", err))
	}
	told, err := h.ChangeServer(o)
	if err != nil {
		return storeFail(err)
	}
	return reply(told)
}

// MemberRequest changes the instances of the store.
type MemberRequest struct {
	Action string `json:"verb"` // join, promote, leave
	ID     string `json:"id"`
	Raft   string `json:"raft,omitempty"` // address of its Raft traffic, to join
	HTTP   string `json:"http,omitempty"` // address of its search front, to join
}

// member takes one such order.
func (h Handler) member(req *http1.Request) *http1.Response {
	var o MemberRequest
	if err := json.Unmarshal(req.Body, &o); err != nil {
		return fail(400, fmt.Errorf("an order: %w", err))
	}
	if err := h.ChangeMember(o); err != nil {
		return storeFail(err)
	}
	return reply(o)
}
