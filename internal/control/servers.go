package control

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

// Agreed is what instances agree on of servers.
type Agreed struct {
	Version   uint64                       `json:"version"`
	Hash      string                       `json:"hash"` // the same at every instance of the same version
	Servers   map[string]config.Server     `json:"servers"`
	Removed   []string                     `json:"removed,omitempty"`
	Unsettled []restriction.Request        `json:"unsettled,omitempty"` // hold here; the log has not decided them yet
	Withdrawn []config.RejectedRestriction `json:"withdrawn,omitempty"`
}

// ServerOrder is what an operator wants of a server.
type ServerOrder struct {
	Server string             `json:"server"`
	Verb   string             `json:"verb"` // drain, undrain, remove, add, change, weight
	Force  bool               `json:"force,omitempty"`
	Weight float64            `json:"weight,omitempty"`
	Spec   *config.ServerSpec `json:"spec,omitempty"`
	If     uint64             `json:"if,omitempty"` // the server's version that was read; 0: any
	Client string             `json:"client,omitempty"`
	Seq    uint64             `json:"seq,omitempty"` // with Client: asked again, it is done once
}

// Ordered is what became of it.
type Ordered struct {
	Holds   string   `json:"holds"` // where, by now
	Order   string   `json:"order,omitempty"`
	Version uint64   `json:"version,omitempty"`
	Bare    []string `json:"bare,omitempty"` // slices that a forced order left without a holder
}

// order takes one order.
func (h Handler) order(req *http1.Request) *http1.Response {
	var o ServerOrder
	if err := json.Unmarshal(req.Body, &o); err != nil {
		return fail(400, fmt.Errorf("an order: %w", err))
	}
	told, err := h.ServerOrder(o)
	if err != nil {
		return storeFail(err)
	}
	return reply(told)
}

// MemberOrder changes the instances of the store.
type MemberOrder struct {
	Verb string `json:"verb"` // join, promote, leave
	ID   string `json:"id"`
	Raft string `json:"raft,omitempty"` // address of its Raft traffic, to join
	HTTP string `json:"http,omitempty"` // address of its search front, to join
}

// member takes one such order.
func (h Handler) member(req *http1.Request) *http1.Response {
	var o MemberOrder
	if err := json.Unmarshal(req.Body, &o); err != nil {
		return fail(400, fmt.Errorf("an order: %w", err))
	}
	if err := h.MemberOrder(o); err != nil {
		return storeFail(err)
	}
	return reply(o)
}
