package searchconfig

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// maxNameBytes is OpenSearch's limit on the length of an index name.
const maxNameBytes = 255

// Validate checks the document of an instance's own file and builds its shard maps; its errors
// wrap ErrInvalid. The file may be proposed as the first replicated document.
func (c *Config) Validate() error {
	if err := c.validateFields(); err != nil {
		return err
	}
	if err := c.loadShardMaps(nil); err != nil {
		return err
	}
	return c.CheckProposal(&Config{}, 0)
}

// validateFields checks everything except the contents of the shard maps. It visits names
// in sorted order, so that all instances report the same error.
func (c *Config) validateFields() error {
	if err := c.Search.validate(); err != nil {
		return err
	}
	for _, name := range slices.Sorted(maps.Keys(c.Indices)) {
		if !validIndexName(name) {
			return fmt.Errorf("%w: index name %q", ErrInvalid, name)
		}
		if err := c.Indices[name].validate(name); err != nil {
			return err
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.Servers)) {
		if p := c.Servers[name].Protocol; p != ProtocolPlain && p != ProtocolSearch {
			return fmt.Errorf("%w: server %q: unknown protocol %q", ErrInvalid, name, p)
		}
	}
	return nil
}

func (d Defaults) validate() error {
	if _, err := ParseDuration(d.Timeout); err != nil {
		return fmt.Errorf("%w: search.default_search_timeout: %w", ErrInvalid, err)
	}
	if d.MaxResultWindow < 0 {
		return fmt.Errorf("%w: search.max_result_window is below 0", ErrInvalid)
	}
	return nil
}

func (i Index) validate(name string) error {
	descriptions := 0
	for _, present := range []bool{len(i.Shards) > 0, i.ShardMap != nil, i.InitialSharding != nil} {
		if present {
			descriptions++
		}
	}
	if i.Class == "" || descriptions != 1 {
		return fmt.Errorf("%w: index %q needs a class and one of slices, spread and layout", ErrInvalid, name)
	}
	if len(i.Shards) == 0 {
		return nil
	}
	sorted := slices.Sorted(slices.Values(i.Shards))
	if sorted[0] < 0 || len(slices.Compact(sorted)) != len(i.Shards) {
		return fmt.Errorf("%w: index %q has a slice below 0 or one twice", ErrInvalid, name)
	}
	return nil
}

// validIndexName reports whether a name follows OpenSearch's rules for index names.
func validIndexName(name string) bool {
	if name == "" || name == "." || name == ".." || len(name) > maxNameBytes {
		return false
	}
	return name == strings.ToLower(name) &&
		!strings.ContainsAny(name, `\/*?"<>| ,#:`) &&
		!strings.ContainsAny(name[:1], "_-+")
}
