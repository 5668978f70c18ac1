// Package searchconfig holds the configuration of the search front end: which shards
// each index has and where their replicas are, which protocol each server speaks, and
// the defaults of a search. It is one JSON document, changed by merge patches.
//
// The package parses, validates and patches the document, and does no I/O. Packages
// config and store replicate and store the document.
package searchconfig

import (
	"errors"
	"time"

	"linkpass/internal/shardmap"
)

// The protocols that a server may speak. A server without a configuration speaks
// ProtocolPlain.
const (
	ProtocolPlain  = "plain"
	ProtocolSearch = "search"
)

// defaultMaxResultWindow is OpenSearch's default limit on from + size.
const defaultMaxResultWindow = 10000

// ErrInvalid marks a document or a patch that cannot be used. The texts of all errors
// of this package are returned in HTTP bodies and replicated with the result of a
// command, so they must not change between versions of the program.
var ErrInvalid = errors.New("invalid settings")

// Server is the configuration of one server.
type Server struct {
	Protocol string `json:"protocol" toml:"protocol"`
}

// Defaults holds the default parameters of searches, and the limit on their results.
type Defaults struct {
	// Timeout is a time value as ParseDuration accepts it; see Config.Timeout.
	Timeout string `json:"default_search_timeout,omitempty" toml:"default_search_timeout"`
	// AllowPartial is the default of allow_partial_search_results; nil means true.
	AllowPartial *bool `json:"default_allow_partial_results,omitempty" toml:"default_allow_partial_results"`
	// MaxResultWindow is the limit on from + size; 0 means defaultMaxResultWindow.
	MaxResultWindow int `json:"max_result_window,omitempty" toml:"max_result_window"`
}

// Config is the complete document. It is immutable once published.
type Config struct {
	// Revision is incremented with each change of a replicated document. It is 0 for a
	// document that is not replicated.
	Revision uint64 `json:"revision,omitempty" toml:"-"`

	Search  Defaults          `json:"search" toml:"search"`
	Indices map[string]Index  `json:"indices,omitempty" toml:"indices"`
	Servers map[string]Server `json:"servers,omitempty" toml:"servers"`

	// shardMaps holds the validated shard maps by index name. An index with fixed shards
	// has none.
	shardMaps map[string]*shardmap.Map
}

// MaxResultWindow returns the limit on from + size.
func (c *Config) MaxResultWindow() int {
	if c.Search.MaxResultWindow > 0 {
		return c.Search.MaxResultWindow
	}
	return defaultMaxResultWindow
}

// AllowPartial returns the default of allow_partial_search_results.
func (c *Config) AllowPartial() bool {
	return c.Search.AllowPartial == nil || *c.Search.AllowPartial
}

// Timeout returns the default timeout of a search; 0 means the timeout of the
// search's request class.
func (c *Config) Timeout() time.Duration {
	d, err := ParseDuration(c.Search.Timeout)
	if err != nil {
		return 0
	}
	return d
}

// Protocol returns the protocol of a server; a server that is not configured speaks
// ProtocolPlain.
func (c *Config) Protocol(server string) string {
	if s, ok := c.Servers[server]; ok {
		return s.Protocol
	}
	return ProtocolPlain
}
