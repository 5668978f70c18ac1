package searchconfig

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"linkpass/internal/shardmap"
)

// Parse parses and validates a complete document. Unknown keys are rejected with
// ErrInvalid.
func Parse(data []byte) (*Config, error) { return ParseUpdate(data, nil) }

// ParseUpdate parses a complete document that follows an earlier one. Data that did not
// change is shared with the earlier document; nil: there is none.
func ParseUpdate(data []byte, earlier *Config) (*Config, error) {
	return parseUpdate(data, earlier, nil)
}

// parseUpdate is ParseUpdate with a check of the document, unless it is nil, before its shard maps are built.
func parseUpdate(data []byte, earlier *Config, check func(*Config) error) (*Config, error) {
	c := &Config{}
	if err := decode(data, c, true); err != nil {
		return nil, err
	}
	if check != nil {
		if err := check(c); err != nil {
			return nil, err
		}
	}
	if err := c.validateFields(); err != nil {
		return nil, err
	}
	if err := c.loadShardMaps(earlier); err != nil {
		return nil, err
	}
	return c, nil
}

// ParseStored parses a complete document that was written from the settings in force, such as that of a snapshot. It
// does not validate it: the settings in force may stem from an earlier version of the program that accepted more.
func ParseStored(data []byte) (*Config, error) {
	c := &Config{}
	if err := decode(data, c, true); err != nil {
		return nil, err
	}
	c.shardMaps = map[string]*shardmap.Map{}
	for name, index := range c.Indices {
		if index.ShardMap != nil {
			c.shardMaps[name] = index.ShardMap.StoredMap()
		}
	}
	return c, nil
}

// decode decodes exactly one JSON value. If strict is set, unknown keys are rejected.
func decode(data []byte, target any, strict bool) error {
	d := json.NewDecoder(bytes.NewReader(data))
	if strict {
		d.DisallowUnknownFields()
	}
	if err := d.Decode(target); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return fmt.Errorf("%w: something follows the document", ErrInvalid)
	}
	return nil
}
