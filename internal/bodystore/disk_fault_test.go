package bodystore

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
)

// A full disk rejects the body that arrives; bodies in files stay readable, new ones go to memory.
func TestWriteRejectsBodyWhenDiskIsFull(t *testing.T) {
	fs := newFaultyFS()
	s := newStore(t, smallLimits, fs)
	before := randomBytes(1, 300<<10)
	b := mustStore(t, s, before)
	fs.capacity.Store(100 << 10)
	if _, err := storeBody(s, 0, randomBytes(2, 600<<10)); !errors.Is(err, ErrNoCapacity) {
		t.Fatalf("a body larger than the disk: %v", err)
	}
	wantBody(t, b, before)
	small := randomBytes(3, 60<<10)
	c := mustStore(t, s, small)
	wantBody(t, c, small)
	fs.capacity.Store(-1)
	if n := s.cfg.Counters.Get("bodies_write_failed"); n == 0 {
		t.Error("failed write not counted")
	}
	if f := s.Totals(); f.Bodies != 2 {
		t.Errorf("%+v", f)
	}
}

// Data that come back corrupt, or not at all, are never returned.
func TestReadOfCorruptRecordEvictsBody(t *testing.T) {
	for name, setFault := range map[string]func(*faultyFS){
		"flipped bit": func(f *faultyFS) { f.corruptReads.Store(true) },
		"EIO":         func(f *faultyFS) { f.failReads.Store(true) },
	} {
		t.Run(name, func(t *testing.T) {
			fs := newFaultyFS()
			s := newStore(t, smallLimits, fs)
			data := randomBytes(4, 300<<10)
			b := mustStore(t, s, data)
			evicted := make(chan struct{}, 2)
			b.OnEvicted(func() { evicted <- struct{}{} })
			setFault(fs)
			got, err := readBody(b)
			if err == nil || len(got) > 0 {
				t.Errorf("%d bytes, %v", len(got), err)
			}
			<-evicted
			if _, err := b.Open(); !errors.Is(err, ErrEvicted) {
				t.Errorf("opens: %v", err)
			}
			b.Release()
		})
	}
}

func TestWriteRejectsBodyAfterShortWrite(t *testing.T) {
	fs := newFaultyFS()
	s := newStore(t, smallLimits, fs)
	fs.shortWrites.Store(true)
	if _, err := storeBody(s, 0, randomBytes(5, 900<<10)); !errors.Is(err, ErrNoCapacity) {
		t.Errorf("a body with a short write: %v", err)
	}
	if f := s.Totals(); f.Bodies != 0 || f.Memory != 0 {
		t.Errorf("%+v", f)
	}
}

// A reader, as of a hedge, reads to the end of a body that is removed meanwhile.
func TestReadContinuesAfterRelease(t *testing.T) {
	for _, size := range []int{100 << 10, 400 << 10} {
		s := newStore(t, smallLimits, nil)
		data := randomBytes(6, size)
		b := mustStore(t, s, data)
		r, err := b.Open()
		if err != nil {
			t.Fatal(err)
		}
		first := make([]byte, 10)
		if _, err := io.ReadFull(r, first); err != nil {
			t.Fatal(err)
		}
		b.Release()
		s.compactAll()
		s.log.removeRetired()
		unread, err := io.ReadAll(r)
		if err != nil || !bytes.Equal(append(first, unread...), data) {
			t.Errorf("%d bytes: %v", len(unread), err)
		}
		_ = r.Close()
	}
}

// Without its directory the store rejects what needs a new file and serves the rest from memory.
func TestWriteRejectsBodyWhenDirectoryIsRemoved(t *testing.T) {
	s := newStore(t, smallLimits, nil)
	if err := os.RemoveAll(s.dir); err != nil {
		t.Fatal(err)
	}
	if _, err := storeBody(s, 0, randomBytes(1, 600<<10)); !errors.Is(err, ErrNoCapacity) {
		t.Errorf("a body in files: %v", err)
	}
	data := randomBytes(2, 100<<10)
	wantBody(t, mustStore(t, s, data), data)
}

// ENOSPC from the kernel: a child process under a file-size limit of its own.
func TestWriteRejectsBodyAtFileSizeLimit(t *testing.T) {
	if os.Getenv("BODIES_CHILD") != "" {
		storeUnderFileSizeLimit(t)
		return
	}
	cmd := exec.Command(os.Args[0], "-test.run=^TestWriteRejectsBodyAtFileSizeLimit$", "-test.v")
	cmd.Env = append(os.Environ(), "BODIES_CHILD=1")
	out, err := cmd.CombinedOutput()
	if err != nil || !strings.Contains(string(out), "rejected and continued") {
		t.Fatalf("%v\n%s", err, out)
	}
}

func storeUnderFileSizeLimit(t *testing.T) {
	t.Helper()
	limit := syscall.Rlimit{Cur: 200 << 10, Max: 200 << 10}
	if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &limit); err != nil {
		t.Fatal(err)
	}
	s := newStore(t, smallLimits, nil)
	first := randomBytes(1, 150<<10)
	b := mustStore(t, s, first)
	if _, err := storeBody(s, 0, randomBytes(2, 600<<10)); !errors.Is(err, ErrNoCapacity) {
		t.Fatalf("past the limit: %v", err)
	}
	wantBody(t, b, first)
	fmt.Println("rejected and continued")
}
