// Package searchconfig holds the configuration of the search front end: which shards
// each index has and where their replicas are, which protocol each server speaks, and
// the defaults of a search. It is one JSON document, changed by merge patches.
//
// The package parses, validates and patches the document. It does not store or
// replicate it (packages config and store do) and does no I/O.
package searchconfig

import (
	"errors"
	"time"

	"linkpass/internal/shardmap"
)

// The protocols that a server may speak.
const (
	ProtocolPlain  = "plain"
	ProtocolSearch = "search"
)

// defaultMaxResultWindow is OpenSearch's own limit on from + size.
const defaultMaxResultWindow = 10000

// ErrInvalid marks a document or a patch that cannot be used. The texts of all errors
// of this package are returned in HTTP bodies and replicated with the result of a
// command, so they stay the same from version to version.
var ErrInvalid = errors.New("invalid settings")

// Server is the configuration of one server.
type Server struct {
	Protocol string `json:"protocol" toml:"protocol"`
}

// Defaults are the settings of a search that sets none itself.
type Defaults struct {
	Timeout         string `json:"default_search_timeout,omitempty" toml:"default_search_timeout"`
	AllowPartial    *bool  `json:"default_allow_partial_results,omitempty" toml:"default_allow_partial_results"`
	MaxResultWindow int    `json:"max_result_window,omitempty" toml:"max_result_window"`
}

// Config is the whole document. It is immutable once published.
type Config struct {
	// Revision counts the changes of a replicated document, one for each change.
	Revision uint64 `json:"revision,omitempty" toml:"-"`

	Search  Defaults          `json:"search" toml:"search"`
	Indices map[string]Index  `json:"indices,omitempty" toml:"indices"`
	Servers map[string]Server `json:"servers,omitempty" toml:"servers"`

	shardMaps map[string]*shardmap.Map // validated, by index; an index with fixed shards has none
}

// MaxResultWindow is the limit on from + size.
func (c *Config) MaxResultWindow() int {
	if c.Search.MaxResultWindow > 0 {
		return c.Search.MaxResultWindow
	}
	return defaultMaxResultWindow
}

// AllowPartial is the default of allow_partial_search_results.
func (c *Config) AllowPartial() bool {
	return c.Search.AllowPartial == nil || *c.Search.AllowPartial
}

// Timeout is the default timeout of a search; 0 stands for the timeout of its class.
func (c *Config) Timeout() time.Duration {
	d, err := ParseDuration(c.Search.Timeout)
	if err != nil {
		return 0
	}
	return d
}

// Protocol is the protocol of a server; a server that is not configured speaks ProtocolPlain.
func (c *Config) Protocol(server string) string {
	if s, ok := c.Servers[server]; ok {
		return s.Protocol
	}
	return ProtocolPlain
}
