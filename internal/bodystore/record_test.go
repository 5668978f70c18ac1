package bodystore

import (
	"errors"
	"testing"
)

// For any bytes on the disk, parseRecord returns data of the expected length or ErrCorrupt.
func FuzzParseRecord(f *testing.F) {
	l := newSegmentLog(osFS{}, f.TempDir())
	r, err := l.append([]byte("some text"))
	if err != nil {
		f.Fatal(err)
	}
	valid := make([]byte, recordHeaderSize+r.length)
	if _, err := r.segment.file.ReadAt(valid, 0); err != nil {
		f.Fatal(err)
	}
	f.Add(valid, 9)
	f.Add(valid[:12], 9)
	f.Add([]byte{}, 0)
	f.Fuzz(func(t *testing.T, b []byte, n int) {
		data, err := parseRecord(b, n)
		if err == nil && (len(data) != n || n < 0) || err != nil && !errors.Is(err, ErrCorrupt) {
			t.Fatalf("parseRecord with n = %d: %d bytes, err = %v, want n bytes or %v", n, len(data), err, ErrCorrupt)
		}
	})
}
