package config

import (
	"errors"
	"io"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// A stored entry that is cut off or has an extra byte is rejected with ErrUnknownFormat, and never decoded in part.
func TestStoredEntryTruncatedIsFormatError(t *testing.T) {
	for name := range storedCommands() {
		t.Run(name, func(t *testing.T) {
			entry := readFixture(t, "entry_"+name+".cbor", nil)
			for n := range entry {
				if c, err := Decode(entry[:n]); !errors.Is(err, ErrUnknownFormat) {
					t.Errorf("first %d of %d bytes: decoded %+v, error = %v, want ErrUnknownFormat",
						n, len(entry), c, err)
				}
			}
			if c, err := Decode(append(entry, 0)); !errors.Is(err, ErrUnknownFormat) {
				t.Errorf("one extra byte: decoded %+v, error = %v, want ErrUnknownFormat", c, err)
			}
		})
	}
}

// A stored snapshot that is cut off or has an extra byte is rejected. Only an empty one is rejected with
// ErrUnknownFormat: the format byte of the others is valid.
func TestStoredSnapshotTruncatedIsError(t *testing.T) {
	for _, name := range []string{
		"snapshot.cbor",
		"snapshot_empty.cbor",
		"snapshot_zero_records.cbor",
		"snapshot_of_document.cbor",
	} {
		t.Run(name, func(t *testing.T) {
			data := readFixture(t, name, nil)
			if s, err := Restore(nil); !errors.Is(err, ErrUnknownFormat) || s != nil {
				t.Errorf("no bytes: state = %v, error = %v, want nil and ErrUnknownFormat", s, err)
			}
			for n := 1; n < len(data); n++ {
				s, err := Restore(data[:n])
				endsEarly := errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF)
				if s != nil || errors.Is(err, ErrUnknownFormat) || !endsEarly {
					t.Errorf("first %d of %d bytes: state = %v, error = %v, want nil and EOF or ErrUnexpectedEOF",
						n, len(data), s, err)
				}
			}
			var extra *cbor.ExtraneousDataError
			if s, err := Restore(append(data, 0)); !errors.As(err, &extra) || s != nil {
				t.Errorf("one extra byte: state = %v, error = %v, want nil and an ExtraneousDataError", s, err)
			}
		})
	}
}
