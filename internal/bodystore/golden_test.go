package bodystore

import (
	"bytes"
	"encoding/binary"
	"errors"
	"flag"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"linkpass/internal/bodystore/tier"
	"linkpass/internal/metrics"
)

var updateGolden = flag.Bool("update", false, "rewrite the golden data directory")

// The golden data directory was left by a killed process. It has three bodies in one segment.
const (
	goldenDir     = "testdata/killed"
	goldenProcess = "linkpass-bodies-1700000001"
	goldenSegment = "seg-00000001"
)

// goldenBodies returns the bodies of the golden segment in the order of their records. The second has two records.
func goldenBodies() [][]byte {
	long := bytes.Repeat([]byte("0123456789abcdef"), 64<<10/16)
	return [][]byte{[]byte("c41e77d0 \x00\xff\n"), append(long, "the second record"...), []byte(`{"query":{"match_all":{}}}`)}
}

// goldenRecords returns the data of each record of the golden segment.
func goldenRecords() [][]byte {
	b := goldenBodies()
	return [][]byte{b[0], b[1][:64<<10], b[1][64<<10:], b[2]}
}

// newGoldenStore returns a store that writes each body to files as soon as it arrives.
func newGoldenStore(t *testing.T, dir string) *Store {
	t.Helper()
	s := Open(Config{Limits: tier.Limits{Memory: 1 << 20, Files: 1 << 20, MaxMemoryBodySize: 1},
		Classes: []string{"lookup"}, Dir: dir, Counters: metrics.NewCounters(), Now: func() time.Duration { return time.Second }})
	t.Cleanup(s.Close)
	return s
}

// readTree returns the contents of all files below a directory by relative path. The path of a directory ends in a
// slash.
func readTree(t *testing.T, dir string) map[string]string {
	t.Helper()
	contents := map[string]string{}
	err := filepath.WalkDir(dir, func(path string, e fs.DirEntry, err error) error {
		if err != nil || path == dir {
			return err
		}
		name, err := filepath.Rel(dir, path)
		if err != nil {
			return err
		}
		if e.IsDir() {
			contents[name+"/"] = ""
			return nil
		}
		data, err := os.ReadFile(path)
		contents[name] = string(data)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return contents
}

// copyGolden copies the golden data directory and returns the path of the copy.
func copyGolden(t *testing.T) string {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "bodies")
	if err := os.CopyFS(dir, os.DirFS(goldenDir)); err != nil {
		t.Fatal(err)
	}
	return dir
}

func sortedNames(contents map[string]string) []string {
	var out []string
	for name := range contents {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

func readSegment(t *testing.T) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(goldenDir, goldenProcess, goldenSegment))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// The store writes the golden data directory byte for byte, except for the random suffix of the process directory.
func TestDataDirectoryGoldenWritten(t *testing.T) {
	dir := t.TempDir()
	s := newGoldenStore(t, dir)
	for _, data := range goldenBodies() {
		b := mustStore(t, s, data)
		defer b.Release()
		waitForMoves(s)
	}
	created := filepath.Base(s.dir)
	if !strings.HasPrefix(created, "linkpass-bodies-") {
		t.Errorf("process directory is %q, want prefix %q", created, "linkpass-bodies-")
	}
	got := map[string]string{}
	for name, data := range readTree(t, dir) {
		got[strings.Replace(name, created, goldenProcess, 1)] = data
	}
	if *updateGolden {
		if err := os.RemoveAll(goldenDir); err != nil {
			t.Fatal(err)
		}
		if err := os.CopyFS(filepath.Join(goldenDir, goldenProcess), os.DirFS(s.dir)); err != nil {
			t.Fatal(err)
		}
	}
	want := readTree(t, goldenDir)
	if !slices.Equal(sortedNames(got), sortedNames(want)) {
		t.Fatalf("wrote %q, want %q", sortedNames(got), sortedNames(want))
	}
	for name := range want {
		if got[name] != want[name] {
			t.Errorf("%s differs: %d bytes, want %d", name, len(got[name]), len(want[name]))
		}
	}
}

// A record is the bytes LPB1, the length and the xxhash64 of the data, both little-endian, and the data.
func TestSegmentGoldenFormat(t *testing.T) {
	unread := readSegment(t)
	for i, want := range goldenRecords() {
		if len(unread) < 16 {
			t.Fatalf("record %d: %d bytes left, want at least 16", i, len(unread))
		}
		n := int(binary.LittleEndian.Uint32(unread[4:]))
		if string(unread[:4]) != "LPB1" || n != len(want) || binary.LittleEndian.Uint64(unread[8:]) != xxhash.Sum64(want) {
			t.Fatalf("record %d: header %x, want LPB1, length %d and hash %#x", i, unread[:16], len(want), xxhash.Sum64(want))
		}
		if !bytes.Equal(unread[16:16+n], want) {
			t.Errorf("record %d: data differs from the %d bytes stored", i, n)
		}
		unread = unread[16+n:]
	}
	if len(unread) != 0 {
		t.Errorf("%d bytes after the last record, want 0", len(unread))
	}
	if got := xxhash.Sum64(nil); got != 0xef46db3751d8e999 { // as published for xxHash64 with seed 0
		t.Errorf("xxhash64 of no data is %#x, want %#x", got, uint64(0xef46db3751d8e999))
	}
}

// segmentLog.read returns the records of the golden segment, and an error for a last record that is truncated or
// corrupt.
func TestSegmentGoldenRead(t *testing.T) {
	complete := readSegment(t)
	records := goldenRecords()
	last := records[len(records)-1]
	lastStart := len(complete) - 16 - len(last) // offset of the last record
	flipped := bytes.Clone(complete)
	flipped[len(complete)-1] ^= 1
	for _, c := range []struct {
		name string
		data []byte
		err  error // expected for the last record
	}{
		{"complete", complete, nil},
		{"ends before a record", complete[:lastStart], io.EOF},
		{"ends in a record's magic", complete[:lastStart+2], io.EOF},
		{"ends in a record's length", complete[:lastStart+6], io.EOF},
		{"ends after a record's header", complete[:lastStart+16], io.EOF},
		{"ends in a record's data", complete[:len(complete)-1], io.EOF},
		{"ends in zeros", append(bytes.Clone(complete[:len(complete)-1]), 0), ErrCorrupt},
		{"header of zeros", append(bytes.Clone(complete[:lastStart]), make([]byte, len(complete)-lastStart)...), ErrCorrupt},
		{"flipped bit", flipped, ErrCorrupt},
	} {
		t.Run(c.name, func(t *testing.T) { testSegmentRead(t, c.data, c.err) })
	}
}

// testSegmentRead reads the golden records from a segment with data. The last one is expected to fail with lastErr,
// unless that is nil.
func testSegmentRead(t *testing.T, data []byte, lastErr error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), goldenSegment)
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	file, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	records := goldenRecords()
	segLog, seg, offset := newSegmentLog(osFS{}, t.TempDir()), &segment{file: file, path: path}, int64(0)
	for i, want := range records {
		got, err := segLog.read(record{seg, offset, len(want)}, make([]byte, 16+len(want)))
		offset += int64(16 + len(want))
		if i == len(records)-1 && lastErr != nil {
			if !errors.Is(err, lastErr) || got != nil {
				t.Errorf("record %d: read %d bytes, err = %v, want no bytes, err = %v", i, len(got), err, lastErr)
			}
			continue
		}
		if err != nil || !bytes.Equal(got, want) {
			t.Errorf("record %d: read %d bytes, err = %v, want the %d bytes stored", i, len(got), err, len(want))
		}
	}
}
