package config

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// formatVersion is the first byte of an entry and of a snapshot. A format that an older program cannot read
// gets the next number.
const formatVersion = 1

// ErrUnknownFormat means that an entry or a snapshot was written by a later version of the program. An instance that
// skipped it would diverge, so it must stop.
var ErrUnknownFormat = errors.New("config: unknown format, written by a later version")

// Limits of the decoder on one entry or snapshot, far above what the state's own limits allow.
const (
	maxNestedLevels = 32      // of arrays and maps within each other
	maxElements     = 1 << 20 // of one array or map
)

var (
	encMode = must(cbor.CoreDetEncOptions().EncMode())
	decMode = must(cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		MaxNestedLevels:   maxNestedLevels,
		MaxArrayElements:  maxElements,
		MaxMapPairs:       maxElements,
	}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err) // unreachable: the options above are constants
	}
	return v
}

// Encode encodes a command as an entry of the log.
func Encode(c Command) ([]byte, error) {
	data, err := encMode.Marshal(c)
	if err == nil && len(data) >= MaxEntryBytes {
		err = fmt.Errorf("%d bytes exceed the limit of %d", len(data), MaxEntryBytes)
	}
	if err != nil {
		return nil, fmt.Errorf("config: encode command: %w", err)
	}
	return append([]byte{formatVersion}, data...), nil
}

// Decode decodes an entry of the log. Data that is no entry, or one of a later version, gives ErrUnknownFormat;
// the caller must then stop applying the log.
func Decode(data []byte) (Command, error) {
	var c Command
	if err := checkFormat("command", data); err != nil {
		return c, err
	}
	if err := decMode.Unmarshal(data[1:], &c); err != nil {
		return c, fmt.Errorf("%w: decode command: %w", ErrUnknownFormat, err)
	}
	if c.Kind == 0 || c.Kind >= commandKindLimit {
		return c, fmt.Errorf("%w: decode command: unknown kind %d", ErrUnknownFormat, c.Kind)
	}
	return c, nil
}

// checkFormat checks the first byte of an entry or a snapshot.
func checkFormat(object string, data []byte) error {
	switch {
	case len(data) == 0:
		return fmt.Errorf("%w: decode %s: no data", ErrUnknownFormat, object)
	case data[0] != formatVersion:
		return fmt.Errorf("%w: decode %s: format %d, want %d", ErrUnknownFormat, object, data[0], formatVersion)
	}
	return nil
}
