package config

import (
	"bytes"
	"encoding/json"
	"path/filepath"
	"reflect"
	"testing"

	"linkpass/internal/config/restriction"
	"linkpass/internal/searchconfig"
)

// Entries that were stored in the first format are still decoded, and encoding them again gives the same bytes.
func TestStoredEntryReadsAsRecorded(t *testing.T) {
	for name, want := range storedCommands() {
		t.Run(name, func(t *testing.T) {
			entry := readFixture(t, "entry_"+name+".cbor", func() []byte {
				data, err := Encode(want)
				if err != nil {
					t.Fatal(err)
				}
				return data
			})
			got, err := Decode(entry)
			if err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(got, want) {
				t.Errorf("decoded\n%+v\nwant\n%+v", got, want)
			}
			if again, err := Encode(got); err != nil || !bytes.Equal(again, entry) {
				t.Errorf("encoded again as %x, error %v\nwant %x", again, err, entry)
			}
		})
	}
}

// Every entry fixture belongs to a command, and every kind of command has an entry fixture.
func TestStoredEntriesHoldEveryKind(t *testing.T) {
	commands := storedCommands()
	files, err := filepath.Glob(filepath.Join(storedDir, "entry_*.cbor"))
	if err != nil || len(files) != len(commands) {
		t.Errorf("%d entry fixtures, want one for each of %d commands; error %v", len(files), len(commands), err)
	}
	seen := map[CommandKind]bool{}
	for _, c := range commands {
		seen[c.Kind] = true
	}
	for k := CommandKind(1); k < commandKindLimit; k++ {
		if !seen[k] {
			t.Errorf("no entry fixture has kind %d", k)
		}
	}
}

// A snapshot that was stored in the first format is still restored, and encoding it again gives the same bytes and the
// same hash.
func TestStoredSnapshotReadsAsRecorded(t *testing.T) {
	data := readFixture(t, "snapshot.cbor", func() []byte { return mustSnapshot(t, storedState(t)) })
	got, err := Restore(data)
	if err != nil {
		t.Fatal(err)
	}
	requireState(t, got, storedState(t))
	if again := mustSnapshot(t, got); !bytes.Equal(again, data) {
		t.Errorf("snapshot again: %q\nwant %q", again, data)
	}
	hash, err := got.Hash()
	if err != nil {
		t.Fatal(err)
	}
	hash += "\n"
	if want := readFixture(t, "snapshot.hash", func() []byte { return []byte(hash) }); hash != string(want) {
		t.Errorf("hash %s, want %s", hash, want)
	}
}

// The snapshot fixture has records whose fields are all zero. It covers the encoding of empty fields.
func TestStoredSnapshotOfZeroRecordsReadsAsRecorded(t *testing.T) {
	want := NewState(&searchconfig.Config{})
	if err := want.settings.Validate(); err != nil {
		t.Fatal(err)
	}
	want.servers["s-1"], want.servers["s-2"] = Server{}, Server{Spec: &ServerSpec{}}
	want.sessions["ops"] = clientSession{}
	want.settled = restriction.NewSettledSet([]restriction.Interval{{}})
	want.rejected = []RejectedRestriction{{}}
	data := readFixture(t, "snapshot_zero_records.cbor", func() []byte { return mustSnapshot(t, want) })
	got, err := Restore(data)
	if err != nil {
		t.Fatal(err)
	}
	requireState(t, got, want)
	if again := mustSnapshot(t, got); !bytes.Equal(again, data) {
		t.Errorf("snapshot again: %q\nwant %q", again, data)
	}
}

// The snapshot fixture has no records. It covers the encoding of empty maps and lists.
func TestStoredEmptySnapshotReadsAsRecorded(t *testing.T) {
	data := readFixture(t, "snapshot_empty.cbor", func() []byte {
		return mustSnapshot(t, NewState(&searchconfig.Config{}))
	})
	got, err := Restore(data)
	if err != nil {
		t.Fatal(err)
	}
	records := len(got.ServerIDs()) + len(got.RemovedIDs()) + len(got.sessions) +
		len(got.RejectedRestrictions()) + len(got.memberAddresses) + len(got.Settled().Intervals())
	if got.Version() != 0 || got.Initialized() || records != 0 {
		t.Errorf("state = %+v, want an empty one that is not initialized", got)
	}
	if again := mustSnapshot(t, got); !bytes.Equal(again, data) {
		t.Errorf("snapshot again: %q\nwant %q", again, data)
	}
}

// The log stores the document of a client unchanged. Applying it must produce the settings in the snapshot fixture.
func TestStoredDocumentEntryAppliesAsRecorded(t *testing.T) {
	entry := readFixture(t, "entry_document.cbor", nil)
	c, err := Decode(entry)
	if err != nil {
		t.Fatal(err)
	}
	s, r := NewState(&searchconfig.Config{}).Apply(c)
	if r.Reason != Applied {
		t.Fatalf("result = %+v, want Applied", r)
	}
	got := mustSnapshot(t, s)
	if want := readFixture(t, "snapshot_of_document.cbor", func() []byte { return got }); !bytes.Equal(got, want) {
		t.Errorf("snapshot %q\nwant %q", got, want)
	}
}

// storedRecords returns the records in the JSON fixtures, by the name of the fixture.
func storedRecords(t *testing.T) map[string][]any {
	t.Helper()
	state := storedState(t)
	full, zero := storedFullCommand(), storedZeroCommand()
	return map[string][]any{
		"records_full.json": {
			state.servers["s-1"],
			state.sessions["ops"].Result,
			state.rejected,
			full.Spec,
			full.Restriction,
			full.WithdrawnIDs,
			full.ShardMapCommand.Request,
		},
		"records_zero.json": {
			Server{},
			Result{},
			RejectedRestriction{},
			zero.Spec,
			zero.Restriction,
			zero.WithdrawnIDs,
			zero.ShardMapCommand.Request,
		},
	}
}

// The admin API and the messages between instances contain these records as JSON. The JSON keys differ from the keys of
// the stored form, so they are tested separately.
func TestStoredRecordsKeepJSONForm(t *testing.T) {
	for name, records := range storedRecords(t) {
		t.Run(name, func(t *testing.T) {
			got, err := json.MarshalIndent(records, "", "  ")
			if err != nil {
				t.Fatal(err)
			}
			got = append(got, '\n')
			want := readFixture(t, name, func() []byte { return got })
			if !bytes.Equal(got, want) {
				t.Errorf("JSON\n%s\nwant\n%s", got, want)
			}
			var raw []json.RawMessage
			if err := json.Unmarshal(want, &raw); err != nil || len(raw) != len(records) {
				t.Fatalf("%d records in the fixture, want %d; error %v", len(raw), len(records), err)
			}
			for i, text := range raw {
				read := reflect.New(reflect.TypeOf(records[i]))
				err := json.Unmarshal(text, read.Interface())
				if err != nil || !reflect.DeepEqual(read.Elem().Interface(), records[i]) {
					t.Errorf("%s decoded as %+v, error %v; want %+v", text, read.Elem(), err, records[i])
				}
			}
		})
	}
}
