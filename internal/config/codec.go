package config

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// formatVersion is the first byte of a log entry and of a snapshot. A format that older versions of the program cannot
// read gets the next number.
const formatVersion = 1

// ErrUnknownFormat is returned for an entry or a snapshot that this version of the program cannot decode, usually
// because a later version wrote it. An instance must then stop applying the log: if it skipped the entry, its state
// would diverge from that of other instances.
var ErrUnknownFormat = errors.New("config: unknown format, written by a later version")

// Limits that the decoder puts on one entry or snapshot. They are far above what the limits of the state allow.
const (
	maxNestedLevels = 32      // nesting depth of arrays and maps
	maxElements     = 1 << 20 // elements of one array, or pairs of one map
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
		panic(err) // unreachable: the options above are constant and valid
	}
	return v
}

// Encode encodes a command as a log entry. It returns an error if the entry would exceed MaxEntryBytes.
func Encode(c Command) ([]byte, error) {
	data, err := encMode.Marshal(c)
	if err == nil && len(data) >= MaxEntryBytes {
		err = fmt.Errorf("%d bytes of CBOR and a format byte exceed the limit of %d bytes", len(data), MaxEntryBytes)
	}
	if err != nil {
		return nil, fmt.Errorf("config: encode command: %w", err)
	}
	return append([]byte{formatVersion}, data...), nil
}

// Decode decodes a log entry. It returns ErrUnknownFormat if the data is not a valid entry or was written by a later
// version of the program; the caller must then stop applying the log.
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
