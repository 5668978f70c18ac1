package searchconfig

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// maxNestedObjects is how deep encoding/json reads objects in objects.
const maxNestedObjects = 10000

// Patch returns the document after a JSON merge patch (RFC 7396). A dotted key at the top
// level of the patch is expanded to nested objects. The receiver is not changed.
func (c *Config) Patch(patch []byte) (*Config, error) { return c.patch(patch, nil) }

// patch is Patch with a check of the document, unless it is nil, before its shard maps are built.
func (c *Config) patch(patch []byte, check func(*Config) error) (*Config, error) {
	changes := map[string]any{}
	if err := decode(patch, &changes, false); err != nil {
		return nil, err
	}
	tree, err := c.toMap()
	if err != nil {
		return nil, err
	}
	for _, key := range slices.Sorted(maps.Keys(changes)) {
		mergePatch(tree, expandDottedKey(key, changes[key]))
	}
	data, err := json.Marshal(tree)
	if err != nil {
		return nil, fmt.Errorf("searchconfig: encode patched document: %w", err)
	}
	next, err := parseUpdate(data, c, check)
	if err != nil {
		return nil, err
	}
	// Only commands may change a shard map: they check the change, and a patch would bypass
	// these checks.
	for name, before := range c.shardMaps {
		after := next.shardMaps[name]
		if after != nil && after.Version() != before.Version() {
			return nil, fmt.Errorf("%w: the layout of index %q changes by POST /_cluster/reroute only", ErrInvalid, name)
		}
	}
	return next, nil
}

// toMap returns the document as generic JSON.
func (c *Config) toMap() (map[string]any, error) {
	data, err := json.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("searchconfig: encode document: %w", err)
	}
	tree := map[string]any{}
	if err := decode(data, &tree, false); err != nil {
		return nil, err
	}
	return tree, nil
}

// expandDottedKey turns a key such as a.b.c and its value into nested objects. It leaves out elements that are too deep
// to be read anyway, because each of them would take space on the stack.
func expandDottedKey(key string, value any) map[string]any {
	path := strings.Split(key, ".")
	path = path[:min(len(path), maxNestedObjects+1)]
	for _, element := range slices.Backward(path[1:]) {
		value = map[string]any{element: value}
	}
	return map[string]any{path[0]: value}
}

// mergePatch applies a JSON merge patch to tree in place.
func mergePatch(tree, patch map[string]any) {
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
			mergePatch(inner, object)
			tree[key] = inner
		default:
			tree[key] = v
		}
	}
}
