// Package searchconfig is the configuration of the search front: which index lies in
// which slices, which protocol each league server speaks, and the defaults of a
// search. It is one JSON document, changed by merge patches.
package searchconfig

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"linkpass/internal/shardmap"
)

// The protocols that a league server may speak.
const (
	ProtocolPlain  = "plain"
	ProtocolSearch = "search"
)

// Index says where an index lies.
type Index struct {
	Class  string `json:"class" toml:"class"`
	Shards []int  `json:"slices,omitempty" toml:"slices"`
	// ShardMap takes the place of Slices where these can split, merge and move. Spread makes
	// its first version.
	ShardMap        *shardmap.Document `json:"layout,omitempty" toml:"layout"`
	InitialSharding *InitialSharding   `json:"spread,omitempty" toml:"spread"`
}

// InitialSharding deals so many slices out to sets of servers, in turn.
type InitialSharding struct {
	Shards      int        `json:"slices" toml:"slices"`
	ReplicaSets [][]string `json:"sets" toml:"sets"`
}

// Server says how a league server is spoken to.
type Server struct {
	Protocol string `json:"protocol" toml:"protocol"`
}

// Defaults are the settings of a search that names none.
type Defaults struct {
	Timeout         string `json:"default_search_timeout,omitempty" toml:"default_search_timeout"`
	AllowPartial    *bool  `json:"default_allow_partial_results,omitempty" toml:"default_allow_partial_results"`
	MaxResultWindow int    `json:"max_result_window,omitempty" toml:"max_result_window"`
}

// Config is the whole document. A published one is never changed.
type Config struct {
	// Revision counts the changes of a replicated document: one more each.
	Revision uint64 `json:"revision,omitempty" toml:"-"`

	Search  Defaults          `json:"search" toml:"search"`
	Indices map[string]Index  `json:"indices,omitempty" toml:"indices"`
	Servers map[string]Server `json:"servers,omitempty" toml:"servers"`

	layouts map[string]*shardmap.Map // of the indices that have one, as checked
}

// defaultWindow is OpenSearch's own limit on from + size.
const defaultWindow = 10000

// ErrInvalid marks a document or a patch that can't be used.
var ErrInvalid = errors.New("invalid settings")

// MaxResultWindow is the limit on from + size.
func (c *Config) MaxResultWindow() int {
	if c.Search.MaxResultWindow > 0 {
		return c.Search.MaxResultWindow
	}
	return defaultWindow
}

// AllowPartial is the default of allow_partial_search_results.
func (c *Config) AllowPartial() bool { return c.Search.AllowPartial == nil || *c.Search.AllowPartial }

// Timeout is the default time of a search; 0: that of its class.
func (c *Config) Timeout() time.Duration {
	d, err := ParseDuration(c.Search.Timeout)
	if err != nil {
		return 0
	}
	return d
}

// Protocol is what a server speaks.
func (c *Config) Protocol(server string) string {
	if s, ok := c.Servers[server]; ok {
		return s.Protocol
	}
	return ProtocolPlain
}

// ShardMap is an index's layout; nil: it has none, its slices are fixed.
func (c *Config) ShardMap(index string) *shardmap.Map { return c.layouts[index] }

// WithShardMap is the document with another layout of an index.
func (c *Config) WithShardMap(index string, l *shardmap.Map) *Config {
	out := *c
	out.Indices, out.layouts = maps.Clone(c.Indices), maps.Clone(c.layouts)
	d, i := l.Document(), out.Indices[index]
	i.ShardMap = &d
	out.Indices[index], out.layouts[index] = i, l
	return &out
}

// ShardMapChanges tells what changed in the layouts since an earlier document, by name; nil: since there was none.
func (c *Config) ShardMapChanges(earlier *Config) (out []shardmap.Change) {
	names := maps.Clone(c.layouts)
	if earlier != nil {
		for name, l := range earlier.layouts {
			if names[name] == nil {
				names[name] = l
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		var old *shardmap.Map
		if earlier != nil {
			old = earlier.layouts[name]
		}
		if n, changed := shardmap.Diff(name, old, c.layouts[name]); changed {
			out = append(out, n)
		}
	}
	return out
}

// ValidateTransition tells whether a document may come after an earlier one: versions of a layout only grow.
func (c *Config) ValidateTransition(earlier *Config) error {
	for name, l := range earlier.layouts {
		if now := c.layouts[name]; now != nil && now.Version() < l.Version() {
			return fmt.Errorf("%w: indices.%s.layout: version %d after %d", ErrInvalid, name, now.Version(), l.Version())
		}
	}
	return nil
}

// layOut reads the layouts. What did not change since an earlier document is shared with it.
func (c *Config) layOut(earlier *Config) error {
	c.layouts = map[string]*shardmap.Map{}
	for _, name := range slices.Sorted(maps.Keys(c.Indices)) {
		index := c.Indices[name]
		if index.InitialSharding != nil && index.ShardMap == nil {
			first, err := shardmap.NewEven(index.InitialSharding.Shards, index.InitialSharding.ReplicaSets)
			if err != nil {
				return fmt.Errorf("%w: indices.%s.spread: %w", ErrInvalid, name, err)
			}
			d := first.Document()
			index.ShardMap = &d
		}
		index.InitialSharding = nil
		if index.ShardMap == nil {
			continue
		}
		var before *shardmap.Map
		if earlier != nil {
			before = earlier.layouts[name]
		}
		if before != nil && before.Version() == index.ShardMap.Version && c.Revision > 0 {
			c.layouts[name] = before // a version says all: it is never made twice
		} else {
			l, err := index.ShardMap.Map(before)
			if err != nil {
				return fmt.Errorf("%w: indices.%s.layout: %w", ErrInvalid, name, err)
			}
			c.layouts[name] = l
		}
		c.Indices[name] = index
	}
	return nil
}

// Validate tells whether the document can be used. It looks at the document alone,
// so that every instance comes to the same result.
func (c *Config) Validate() error {
	if err := c.check(); err != nil {
		return err
	}
	return c.layOut(nil)
}

func (c *Config) check() error {
	if c.Search.Timeout != "" {
		if _, err := ParseDuration(c.Search.Timeout); err != nil {
			return fmt.Errorf("%w: search.default_search_timeout: %w", ErrInvalid, err)
		}
	}
	if c.Search.MaxResultWindow < 0 {
		return fmt.Errorf("%w: search.max_result_window is below 0", ErrInvalid)
	}
	for _, name := range slices.Sorted(maps.Keys(c.Indices)) {
		index := c.Indices[name]
		if !validName(name) {
			return fmt.Errorf("%w: index name %q", ErrInvalid, name)
		}
		ways := 0
		for _, some := range []bool{len(index.Shards) > 0, index.ShardMap != nil, index.InitialSharding != nil} {
			if some {
				ways++
			}
		}
		if index.Class == "" || ways != 1 {
			return fmt.Errorf("%w: index %q needs a class and one of slices, spread and layout", ErrInvalid, name)
		}
		if len(index.Shards) == 0 {
			continue
		}
		sorted := slices.Sorted(slices.Values(index.Shards))
		if sorted[0] < 0 || len(slices.Compact(sorted)) != len(index.Shards) {
			return fmt.Errorf("%w: index %q has a slice below 0 or one twice", ErrInvalid, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.Servers)) {
		if p := c.Servers[name].Protocol; p != ProtocolPlain && p != ProtocolSearch {
			return fmt.Errorf("%w: server %q: unknown protocol %q", ErrInvalid, name, p)
		}
	}
	return nil
}

// validName follows OpenSearch's rules for index names.
func validName(s string) bool {
	return s != "" && len(s) <= 255 && s == strings.ToLower(s) && !strings.ContainsAny(s, `\/*?"<>| ,#:`) &&
		!strings.ContainsAny(s[:1], "_-+") && s != "." && s != ".."
}

// units of OpenSearch's time values.
var units = []struct {
	suffix string
	unit   time.Duration
}{{"nanos", time.Nanosecond}, {"micros", time.Microsecond}, {"ms", time.Millisecond},
	{"s", time.Second}, {"m", time.Minute}, {"h", time.Hour}, {"d", 24 * time.Hour}}

// ParseDuration reads a time value such as 500ms; -1 and an empty one are 0, none.
func ParseDuration(s string) (time.Duration, error) {
	if s == "" || s == "-1" {
		return 0, nil
	}
	for _, u := range units {
		digits, ok := strings.CutSuffix(s, u.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(digits, 10, 64)
		if err != nil || n <= 0 || n > int64(30*24*time.Hour/u.unit) {
			break
		}
		return time.Duration(n) * u.unit, nil
	}
	return 0, fmt.Errorf("failed to parse %.40q as a time value", s)
}

// Patch is the document after a merge patch (RFC 7396); dotted keys at its top
// stand for nested ones. The catalog itself stays as it is.
func (c *Config) Patch(patch []byte) (*Config, error) {
	changes := map[string]any{}
	if err := decode(patch, &changes, false); err != nil {
		return nil, err
	}
	data, err := json.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("catalog: %w", err)
	}
	tree := map[string]any{}
	if err := decode(data, &tree, false); err != nil {
		return nil, err
	}
	for _, key := range slices.Sorted(maps.Keys(changes)) {
		path := strings.Split(key, ".")
		value := changes[key]
		for _, step := range slices.Backward(path[1:]) {
			value = map[string]any{step: value}
		}
		merge(tree, map[string]any{path[0]: value})
	}
	if data, err = json.Marshal(tree); err != nil {
		return nil, fmt.Errorf("catalog: %w", err)
	}
	next, err := ParseUpdate(data, c)
	if err != nil {
		return nil, err
	}
	for name, l := range c.layouts {
		if now := next.layouts[name]; now != nil && now.Version() != l.Version() {
			return nil, fmt.Errorf("%w: the layout of index %q changes by POST /_cluster/reroute only", ErrInvalid, name)
		}
	}
	return next, nil
}

func merge(tree, patch map[string]any) {
	for key, v := range patch {
		object, nested := v.(map[string]any)
		switch {
		case v == nil:
			delete(tree, key)
		case nested:
			inner, ok := tree[key].(map[string]any)
			if !ok {
				inner = map[string]any{}
			}
			merge(inner, object)
			tree[key] = inner
		default:
			tree[key] = v
		}
	}
}

// Parse reads a document whole; what it does not know is refused.
func Parse(data []byte) (*Config, error) { return ParseUpdate(data, nil) }

// ParseUpdate reads a document that follows an earlier one, and shares with it what did not change.
func ParseUpdate(data []byte, earlier *Config) (*Config, error) {
	c := &Config{}
	if err := decode(data, c, true); err != nil {
		return nil, err
	}
	if err := c.check(); err != nil {
		return nil, err
	}
	return c, c.layOut(earlier)
}

func decode(data []byte, into any, strict bool) error {
	d := json.NewDecoder(bytes.NewReader(data))
	if strict {
		d.DisallowUnknownFields()
	}
	if err := d.Decode(into); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return fmt.Errorf("%w: something follows the document", ErrInvalid)
	}
	return nil
}
