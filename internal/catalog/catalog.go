// Package catalog is the configuration of the search front: which index lies in
// which slices, which protocol each league server speaks, and the defaults of a
// search. It is one JSON document, changed by merge patches.
package catalog

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

	"linkpass/internal/layout"
)

// The protocols that a league server may speak.
const (
	Plain  = "plain"
	Search = "search"
)

// Index says where an index lies.
type Index struct {
	Class  string `json:"class" toml:"class"`
	Slices []int  `json:"slices,omitempty" toml:"slices"`
	// Layout takes the place of Slices where these can split, merge and move. Spread makes
	// its first version.
	Layout *layout.Document `json:"layout,omitempty" toml:"layout"`
	Spread *Spread          `json:"spread,omitempty" toml:"spread"`
}

// Spread deals so many slices out to sets of servers, in turn.
type Spread struct {
	Slices int        `json:"slices" toml:"slices"`
	Sets   [][]string `json:"sets" toml:"sets"`
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

// Catalog is the whole document. A published one is never changed.
type Catalog struct {
	// Revision counts the changes of a replicated document: one more each.
	Revision uint64 `json:"revision,omitempty" toml:"-"`

	Search  Defaults          `json:"search" toml:"search"`
	Indices map[string]Index  `json:"indices,omitempty" toml:"indices"`
	Servers map[string]Server `json:"servers,omitempty" toml:"servers"`

	layouts map[string]*layout.Layout // of the indices that have one, as checked
}

// defaultWindow is OpenSearch's own limit on from + size.
const defaultWindow = 10000

// ErrInvalid marks a document or a patch that can't be used.
var ErrInvalid = errors.New("invalid settings")

// Window is the limit on from + size.
func (c *Catalog) Window() int {
	if c.Search.MaxResultWindow > 0 {
		return c.Search.MaxResultWindow
	}
	return defaultWindow
}

// AllowPartial is the default of allow_partial_search_results.
func (c *Catalog) AllowPartial() bool { return c.Search.AllowPartial == nil || *c.Search.AllowPartial }

// Timeout is the default time of a search; 0: that of its class.
func (c *Catalog) Timeout() time.Duration {
	d, err := ParseTime(c.Search.Timeout)
	if err != nil {
		return 0
	}
	return d
}

// Protocol is what a server speaks.
func (c *Catalog) Protocol(server string) string {
	if s, ok := c.Servers[server]; ok {
		return s.Protocol
	}
	return Plain
}

// Layout is an index's layout; nil: it has none, its slices are fixed.
func (c *Catalog) Layout(index string) *layout.Layout { return c.layouts[index] }

// WithLayout is the document with another layout of an index.
func (c *Catalog) WithLayout(index string, l *layout.Layout) *Catalog {
	out := *c
	out.Indices, out.layouts = maps.Clone(c.Indices), maps.Clone(c.layouts)
	d, i := l.Document(), out.Indices[index]
	i.Layout = &d
	out.Indices[index], out.layouts[index] = i, l
	return &out
}

// News tells what changed in the layouts since an earlier document, by name; nil: since there was none.
func (c *Catalog) News(earlier *Catalog) (out []layout.News) {
	names := maps.Clone(c.layouts)
	if earlier != nil {
		for name, l := range earlier.layouts {
			if names[name] == nil {
				names[name] = l
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		var old *layout.Layout
		if earlier != nil {
			old = earlier.layouts[name]
		}
		if n, changed := layout.Differ(name, old, c.layouts[name]); changed {
			out = append(out, n)
		}
	}
	return out
}

// Follows tells whether a document may come after an earlier one: versions of a layout only grow.
func (c *Catalog) Follows(earlier *Catalog) error {
	for name, l := range earlier.layouts {
		if now := c.layouts[name]; now != nil && now.Version() < l.Version() {
			return fmt.Errorf("%w: indices.%s.layout: version %d after %d", ErrInvalid, name, now.Version(), l.Version())
		}
	}
	return nil
}

// layOut reads the layouts. What did not change since an earlier document is shared with it.
func (c *Catalog) layOut(earlier *Catalog) error {
	c.layouts = map[string]*layout.Layout{}
	for _, name := range slices.Sorted(maps.Keys(c.Indices)) {
		index := c.Indices[name]
		if index.Spread != nil && index.Layout == nil {
			first, err := layout.Even(index.Spread.Slices, index.Spread.Sets)
			if err != nil {
				return fmt.Errorf("%w: indices.%s.spread: %w", ErrInvalid, name, err)
			}
			d := first.Document()
			index.Layout = &d
		}
		index.Spread = nil
		if index.Layout == nil {
			continue
		}
		var before *layout.Layout
		if earlier != nil {
			before = earlier.layouts[name]
		}
		if before != nil && before.Version() == index.Layout.Version && c.Revision > 0 {
			c.layouts[name] = before // a version says all: it is never made twice
		} else {
			l, err := index.Layout.Layout(before)
			if err != nil {
				return fmt.Errorf("%w: indices.%s.layout: %w", ErrInvalid, name, err)
			}
			c.layouts[name] = l
		}
		c.Indices[name] = index
	}
	return nil
}

// Check tells whether the document can be used. It looks at the document alone,
// so that every instance comes to the same result.
func (c *Catalog) Check() error {
	if err := c.check(); err != nil {
		return err
	}
	return c.layOut(nil)
}

func (c *Catalog) check() error {
	if c.Search.Timeout != "" {
		if _, err := ParseTime(c.Search.Timeout); err != nil {
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
		for _, some := range []bool{len(index.Slices) > 0, index.Layout != nil, index.Spread != nil} {
			if some {
				ways++
			}
		}
		if index.Class == "" || ways != 1 {
			return fmt.Errorf("%w: index %q needs a class and one of slices, spread and layout", ErrInvalid, name)
		}
		if len(index.Slices) == 0 {
			continue
		}
		sorted := slices.Sorted(slices.Values(index.Slices))
		if sorted[0] < 0 || len(slices.Compact(sorted)) != len(index.Slices) {
			return fmt.Errorf("%w: index %q has a slice below 0 or one twice", ErrInvalid, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.Servers)) {
		if p := c.Servers[name].Protocol; p != Plain && p != Search {
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

// ParseTime reads a time value such as 500ms; -1 and an empty one are 0, none.
func ParseTime(s string) (time.Duration, error) {
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
func (c *Catalog) Patch(patch []byte) (*Catalog, error) {
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
	next, err := ParseAfter(data, c)
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
func Parse(data []byte) (*Catalog, error) { return ParseAfter(data, nil) }

// ParseAfter reads a document that follows an earlier one, and shares with it what did not change.
func ParseAfter(data []byte, earlier *Catalog) (*Catalog, error) {
	c := &Catalog{}
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
