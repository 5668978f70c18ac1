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

// On a full disk the arriving body is rejected. Bodies in files stay readable, and new ones are stored in memory.
func TestWriteRejectsBodyWhenDiskIsFull(t *testing.T) {
	fs := newFaultyFS()
	s := newStore(t, smallLimits, fs)
	stored := randomBytes(1, 300<<10)
	b := mustStore(t, s, stored)
	fs.capacity.Store(100 << 10)
	if _, err := storeBody(s, 0, randomBytes(2, 600<<10)); !errors.Is(err, ErrNoCapacity) {
		t.Fatalf("storing a body larger than the disk: err = %v, want %v", err, ErrNoCapacity)
	}
	wantBody(t, b, stored)
	small := randomBytes(3, 60<<10)
	c := mustStore(t, s, small)
	wantBody(t, c, small)
	fs.capacity.Store(-1)
	if n := s.cfg.Counters.Get("bodies_write_failed"); n == 0 {
		t.Errorf("bodies_write_failed = %d, want more than 0", n)
	}
	if totals := s.Totals(); totals.Bodies != 2 {
		t.Errorf("totals = %+v, want 2 bodies", totals)
	}
}

// Data that is read back corrupt, or can't be read, is not returned, and the body is evicted.
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
				t.Errorf("read %d bytes, err = %v, want no bytes and an error", len(got), err)
			}
			<-evicted
			if _, err := b.Open(); !errors.Is(err, ErrEvicted) {
				t.Errorf("Open: err = %v, want %v", err, ErrEvicted)
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
		t.Errorf("storing a body with short writes: err = %v, want %v", err, ErrNoCapacity)
	}
	if totals := s.Totals(); totals.Bodies != 0 || totals.Memory != 0 {
		t.Errorf("totals = %+v, want no bodies and no bytes in memory", totals)
	}
}

// A reader, for example of a hedge, reads to the end of a body that is released while the reader is open.
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
		s.compactSparsest()
		s.log.removeRetired()
		unread, err := io.ReadAll(r)
		if err != nil || !bytes.Equal(append(first, unread...), data) {
			t.Errorf("read %d more bytes, err = %v, want the %d more bytes stored", len(unread), err,
				len(data)-len(first))
		}
		_ = r.Close()
	}
}

// If its directory is removed, the store rejects bodies that need a new file and stores others in memory.
func TestWriteRejectsBodyWhenDirectoryIsRemoved(t *testing.T) {
	s := newStore(t, smallLimits, nil)
	if err := os.RemoveAll(s.dir); err != nil {
		t.Fatal(err)
	}
	if _, err := storeBody(s, 0, randomBytes(1, 600<<10)); !errors.Is(err, ErrNoCapacity) {
		t.Errorf("storing a body in files: err = %v, want %v", err, ErrNoCapacity)
	}
	data := randomBytes(2, 100<<10)
	wantBody(t, mustStore(t, s, data), data)
}

// A write error from the kernel, instead of an injected one, is handled like a full disk. The test runs a child
// process with a file size limit of its own.
func TestWriteRejectsBodyAtFileSizeLimit(t *testing.T) {
	if os.Getenv("BODIES_CHILD") != "" {
		storeUnderFileSizeLimit(t)
		return
	}
	cmd := exec.Command(os.Args[0], "-test.run=^TestWriteRejectsBodyAtFileSizeLimit$", "-test.v")
	cmd.Env = append(os.Environ(), "BODIES_CHILD=1")
	out, err := cmd.CombinedOutput()
	if err != nil || !strings.Contains(string(out), "rejected and continued") {
		t.Fatalf("child process: err = %v, want none; want the output to contain %q:\n%s", err,
			"rejected and continued", out)
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
		t.Fatalf("storing a body larger than the file size limit: err = %v, want %v", err, ErrNoCapacity)
	}
	wantBody(t, b, first)
	fmt.Println("rejected and continued")
}
