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

var update = flag.Bool("update", false, "write the golden data directory anew")

// The golden data directory is that of a process that was killed: three bodies lie in its one segment.
const (
	goldenDir     = "testdata/killed"
	goldenProcess = "linkpass-bodies-1700000001"
	goldenSegment = "seg-00000001"
)

// goldenBodies are the bodies of the golden segment, in their order. The second takes two records.
func goldenBodies() [][]byte {
	long := bytes.Repeat([]byte("0123456789abcdef"), 64<<10/16)
	return [][]byte{[]byte("c41e77d0 \x00\xff\n"), append(long, "the second record"...), []byte(`{"query":{"match_all":{}}}`)}
}

// goldenRecords are the pieces of these bodies that a record holds each.
func goldenRecords() [][]byte {
	b := goldenBodies()
	return [][]byte{b[0], b[1][:64<<10], b[1][64<<10:], b[2]}
}

// newGoldenStore is a store whose bodies all go to files at once.
func newGoldenStore(t *testing.T, dir string) *Store {
	t.Helper()
	s := Open(Config{Limits: tier.Limits{Memory: 1 << 20, Files: 1 << 20, Largest: 1}, Classes: []string{"lookup"}, Dir: dir,
		Counters: metrics.NewCounters(), Now: func() time.Duration { return time.Second }})
	t.Cleanup(s.Close)
	return s
}

// tree lists what lies under a directory, with each file's contents.
func tree(t *testing.T, dir string) map[string]string {
	t.Helper()
	found := map[string]string{}
	err := filepath.WalkDir(dir, func(path string, e fs.DirEntry, err error) error {
		if err != nil || path == dir {
			return err
		}
		name, err := filepath.Rel(dir, path)
		if err != nil {
			return err
		}
		if e.IsDir() {
			found[name+"/"] = ""
			return nil
		}
		data, err := os.ReadFile(path)
		found[name] = string(data)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return found
}

// copyGolden copies the golden data directory and tells where the copy lies.
func copyGolden(t *testing.T) string {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "bodies")
	if err := os.CopyFS(dir, os.DirFS(goldenDir)); err != nil {
		t.Fatal(err)
	}
	return dir
}

func names(found map[string]string) []string {
	var out []string
	for name := range found {
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

// The store writes the golden directory today, byte for byte; only the number of its process is its own.
func TestDataDirectoryGoldenWritten(t *testing.T) {
	dir := t.TempDir()
	s := newGoldenStore(t, dir)
	for _, data := range goldenBodies() {
		b := mustStore(t, s, data)
		defer b.Release()
		waitForMoves(s)
	}
	own := filepath.Base(s.dir)
	if !strings.HasPrefix(own, "linkpass-bodies-") {
		t.Errorf("the process's directory is %q", own)
	}
	got := map[string]string{}
	for name, data := range tree(t, dir) {
		got[strings.Replace(name, own, goldenProcess, 1)] = data
	}
	if *update {
		if err := os.RemoveAll(goldenDir); err != nil {
			t.Fatal(err)
		}
		if err := os.CopyFS(filepath.Join(goldenDir, goldenProcess), os.DirFS(s.dir)); err != nil {
			t.Fatal(err)
		}
	}
	want := tree(t, goldenDir)
	if !slices.Equal(names(got), names(want)) {
		t.Fatalf("wrote %q, want %q", names(got), names(want))
	}
	for name := range want {
		if got[name] != want[name] {
			t.Errorf("%s differs: %d bytes, want %d", name, len(got[name]), len(want[name]))
		}
	}
}

// The records of the golden segment by the format's own words: LPB1, length and xxhash64, least significant byte
// first, then the data.
func TestSegmentGoldenFormat(t *testing.T) {
	rest := readSegment(t)
	for i, want := range goldenRecords() {
		if len(rest) < 16 {
			t.Fatalf("record %d: %d bytes left", i, len(rest))
		}
		n := int(binary.LittleEndian.Uint32(rest[4:]))
		if string(rest[:4]) != "LPB1" || n != len(want) || binary.LittleEndian.Uint64(rest[8:]) != xxhash.Sum64(want) {
			t.Fatalf("record %d: head %x", i, rest[:16])
		}
		if !bytes.Equal(rest[16:16+n], want) {
			t.Errorf("record %d: its data differ", i)
		}
		rest = rest[16+n:]
	}
	if len(rest) != 0 {
		t.Errorf("%d bytes after the last record", len(rest))
	}
	if got := xxhash.Sum64(nil); got != 0xef46db3751d8e999 { // as published for xxHash64 with seed 0
		t.Errorf("xxhash64 of nothing is %#x", got)
	}
}

// The program's own reader on the golden segment, whole and cut at every kind of place in its last record.
func TestSegmentGoldenRead(t *testing.T) {
	whole := readSegment(t)
	records := goldenRecords()
	last := records[len(records)-1]
	begin := len(whole) - 16 - len(last) // of the last record
	flipped := bytes.Clone(whole)
	flipped[len(whole)-1] ^= 1
	for _, c := range []struct {
		name string
		data []byte
		err  error // of the last record
	}{
		{"whole", whole, nil},
		{"ends before a record", whole[:begin], io.EOF},
		{"ends in a record's magic", whole[:begin+2], io.EOF},
		{"ends in a record's length", whole[:begin+6], io.EOF},
		{"ends after a record's head", whole[:begin+16], io.EOF},
		{"ends in a record's data", whole[:len(whole)-1], io.EOF},
		{"ends in zeros", append(bytes.Clone(whole[:len(whole)-1]), 0), ErrCorrupt},
		{"head of zeros", append(bytes.Clone(whole[:begin]), make([]byte, len(whole)-begin)...), ErrCorrupt},
		{"a bit flipped", flipped, ErrCorrupt},
	} {
		t.Run(c.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), goldenSegment)
			if err := os.WriteFile(path, c.data, 0o600); err != nil {
				t.Fatal(err)
			}
			disk, err := os.Open(path)
			if err != nil {
				t.Fatal(err)
			}
			defer disk.Close()
			log, seg, off := newSegmentLog(osFS{}, t.TempDir()), &segment{file: disk, path: path}, int64(0)
			for i, want := range records {
				got, err := log.read(record{seg, off, len(want)}, make([]byte, 16+len(want)))
				off += int64(16 + len(want))
				if i == len(records)-1 && c.err != nil {
					if !errors.Is(err, c.err) || got != nil {
						t.Errorf("record %d: %d bytes, %v, want %v", i, len(got), err, c.err)
					}
					continue
				}
				if err != nil || !bytes.Equal(got, want) {
					t.Errorf("record %d: %d bytes, %v, want %d", i, len(got), err, len(want))
				}
			}
		})
	}
}

// Bodies end with their process: a start removes what a killed one left, cut in a record or not, and nothing else.
func TestOpenOnGoldenDataDirectory(t *testing.T) {
	segment := filepath.Join(goldenProcess, goldenSegment)
	for _, c := range []struct {
		name  string
		set   func(t *testing.T, dir string)
		stays []string // beside the new process's own directory and its lock
	}{
		{"whole", func(*testing.T, string) {}, nil},
		{"segment ends in a record", func(t *testing.T, dir string) {
			if err := os.Truncate(filepath.Join(dir, segment), 70000); err != nil {
				t.Fatal(err)
			}
		}, nil},
		{"segment is empty", func(t *testing.T, dir string) {
			if err := os.Truncate(filepath.Join(dir, segment), 0); err != nil {
				t.Fatal(err)
			}
		}, nil},
		{"its process lives", func(t *testing.T, dir string) {
			f, err := lockDir(filepath.Join(dir, goldenProcess))
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { f.Close() })
		}, []string{goldenProcess + "/", goldenProcess + "/lock", segment}},
		{"no lock yet", func(t *testing.T, dir string) {
			if err := os.Remove(filepath.Join(dir, goldenProcess, "lock")); err != nil {
				t.Fatal(err)
			}
		}, []string{goldenProcess + "/", segment}},
		{"others' files beside it", func(t *testing.T, dir string) {
			for _, name := range []string{"linkpass-bodies-file", "other/lock"} {
				path := filepath.Join(dir, name)
				if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
					t.Fatal(err)
				}
				if err := os.WriteFile(path, nil, 0o600); err != nil {
					t.Fatal(err)
				}
			}
		}, []string{"linkpass-bodies-file", "other/", "other/lock"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir := copyGolden(t)
			c.set(t, dir)
			before := tree(t, dir)
			s := newGoldenStore(t, dir)
			if got := s.Totals(); got != (Totals{}) {
				t.Errorf("holds %+v at its start", got)
			}
			own := filepath.Base(s.dir)
			want := append([]string{own + "/", own + "/lock"}, c.stays...)
			slices.Sort(want)
			after := tree(t, dir)
			if !slices.Equal(names(after), want) {
				t.Fatalf("left %q, want %q", names(after), want)
			}
			for _, name := range c.stays {
				if after[name] != before[name] {
					t.Errorf("%s was changed", name)
				}
			}
			b := mustStore(t, s, goldenBodies()[1]) // and it works there
			waitForMoves(s)
			wantBody(t, b, goldenBodies()[1])
			if data := tree(t, dir)[filepath.Join(own, goldenSegment)]; len(data) != 2*16+64<<10+17 {
				t.Errorf("the new segment has %d bytes", len(data))
			}
			b.Release()
		})
	}
}
