package bodystore

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"pgregory.net/rapid"

	"linkpass/internal/bodystore/tier"
	"linkpass/internal/metrics"
	_ "linkpass/internal/testrand"
)

// faults is a file system that fails as it is told: full, short or broken on the way out.
type faults struct {
	room  atomic.Int64 // bytes that may still be written; below 0: no limit
	short atomic.Bool
	flip  atomic.Bool // a bit of what is read
	fail  atomic.Bool // reads
}

func noFaults() *faults { f := &faults{}; f.room.Store(-1); return f }

func (f *faults) Create(path string) (Disk, error) {
	d, err := osFS{}.Create(path)
	return &faultyDisk{d, f}, err
}
func (*faults) Remove(path string) error { return os.Remove(path) }

type faultyDisk struct {
	Disk
	f *faults
}

func (d *faultyDisk) WriteAt(p []byte, off int64) (int, error) {
	if d.f.short.Load() {
		return d.Disk.WriteAt(p[:len(p)/2], off)
	}
	if room := d.f.room.Load(); room >= 0 {
		if room < int64(len(p)) {
			_, _ = d.Disk.WriteAt(p[:room], off)
			return int(room), syscall.ENOSPC
		}
		d.f.room.Add(-int64(len(p)))
	}
	return d.Disk.WriteAt(p, off)
}

func (d *faultyDisk) ReadAt(p []byte, off int64) (int, error) {
	if d.f.fail.Load() {
		return 0, syscall.EIO
	}
	n, err := d.Disk.ReadAt(p, off)
	if d.f.flip.Load() && n > 0 {
		p[n/2] ^= 4
	}
	return n, err
}

func newStore(t testing.TB, l tier.Limits, fs FS) *Store {
	began := time.Now()
	dir := ""
	if l.Files > 0 {
		dir = t.TempDir()
	}
	s := Open(Config{Limits: l, Classes: []string{"lookup", "table"}, Dir: dir, FS: fs, Counters: metrics.NewCounters(),
		Now: func() time.Duration { return time.Since(began) }})
	t.Cleanup(s.Close)
	return s
}

func text(seed uint64, n int) []byte {
	rng := rand.New(rand.NewPCG(seed, 9))
	out := make([]byte, n)
	for i := range out {
		out[i] = byte(rng.Uint32())
	}
	return out
}

func keep(s *Store, class int, data []byte) (*Body, error) {
	w := s.NewWriter(class, 1)
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	return w.Commit()
}

func mustKeep(t testing.TB, s *Store, data []byte) *Body {
	t.Helper()
	b, err := keep(s, 0, data)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func read(b *Body) ([]byte, error) {
	r, err := b.Open()
	if err != nil {
		return nil, err
	}
	defer r.Close()
	return io.ReadAll(r)
}

func wantBody(t testing.TB, b *Body, data []byte) {
	t.Helper()
	if got, err := read(b); err != nil || !bytes.Equal(got, data) {
		t.Fatalf("read %d bytes, %v, want %d", len(got), err, len(data))
	}
}

// settled waits until nothing is on its way to a file: the state says so.
func settled(s *Store) {
	for {
		s.mu.Lock()
		idle := len(s.orders) == 0
		for _, e := range s.entries {
			idle = idle && (len(e.mem) == 0 || s.state.Where(e.id) == tier.Memory && !s.state.Moving(e.id))
		}
		s.mu.Unlock()
		if idle {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// A store behaves as a map from holds to bytes, whatever arrives, is shared, moves, fails on the disk
// or is let go: a body reads as it was written, or is said to be gone.
func TestStoreAgreesWithAMap(t *testing.T) {
	seen := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		dir, err := os.MkdirTemp("", "bodies")
		if err != nil {
			t.Fatal(err)
		}
		defer os.RemoveAll(dir)
		fs := noFaults()
		var now atomic.Int64
		cfg := Config{Limits: tier.Limits{Memory: 40 << 10, Files: 120 << 10, Largest: 24 << 10, Classes: []tier.Class{{Floor: 8 << 10}, {}}},
			Classes: []string{"lookup", "table"}, Dir: dir, FS: fs, Counters: metrics.NewCounters(), Now: func() time.Duration { return time.Duration(now.Load()) }}
		s := Open(cfg)
		defer func() { s.Close() }()
		type hold struct {
			b    *Body
			data []byte
			gone atomic.Bool
		}
		var holds []*hold
		for range rapid.IntRange(5, 40).Draw(t, "events") {
			now.Add(int64(time.Second))
			var h *hold
			if len(holds) > 0 {
				h = rapid.SampledFrom(holds).Draw(t, "hold")
			}
			switch kind := rapid.IntRange(0, 9).Draw(t, "event"); {
			case kind <= 2 || h == nil:
				data := text(uint64(rapid.IntRange(1, 6).Draw(t, "content")), rapid.IntRange(1, 50<<10).Draw(t, "size"))
				b, err := keep(s, rapid.IntRange(0, 1).Draw(t, "class"), data)
				if errors.Is(err, ErrNoCapacity) {
					seen["refused"]++
					continue
				}
				h = &hold{b: b, data: data}
				b.OnEvicted(func() { h.gone.Store(true) })
				holds = append(holds, h)
			case kind == 3:
				h.b.MarkSent()
			case kind == 4:
				h.b.MarkPending()
			case kind == 5:
				h.b.Release()
				for i := range holds {
					if holds[i] == h {
						holds = append(holds[:i], holds[i+1:]...)
						break
					}
				}
			case kind == 6: // the disk fills, or has room again
				fs.room.Store(rapid.SampledFrom([]int64{-1, 0, 30 << 10}).Draw(t, "room"))
			case kind == 7:
				s.compactAll()
			case kind == 9 && rapid.IntRange(0, 2).Draw(t, "crash") == 0: // the process dies as it stands; the next one starts
				crash(s)
				left := s.own
				s, holds = Open(cfg), nil
				seen["crash"]++
				if _, err := os.Stat(left); !errors.Is(err, os.ErrNotExist) || s.log == nil {
					t.Fatalf("what the crash left is still there: %v", err)
				}
			case kind == 8:
				fs.flip.Store(rapid.IntRange(0, 3).Draw(t, "flip") == 0)
			}
			settled(s)
			for _, h := range holds {
				got, err := read(h.b)
				switch {
				case err == nil && !bytes.Equal(got, h.data):
					t.Fatalf("read %d other bytes than the %d written", len(got), len(h.data))
				case err != nil && !h.gone.Load():
					t.Fatalf("gone without a word: %v", err)
				case err == nil && h.gone.Load():
					t.Fatal("said to be gone and reads")
				case err != nil:
					seen["gone"]++
				default:
					seen["read"]++
				}
			}
			if f := s.Totals(); f.Memory > 50<<10 || f.Files > 120<<10 {
				t.Fatalf("%+v", f)
			}
		}
		for _, h := range holds {
			h.b.Release()
		}
		if f := s.Totals(); f.Bodies != 0 || f.Memory != 0 || f.Files != 0 {
			t.Fatalf("after all were let go: %+v", f)
		}
	})
	if seen["refused"] == 0 || seen["gone"] == 0 || seen["read"] == 0 || seen["crash"] == 0 {
		t.Errorf("the runs show too little: %v", seen)
	}
}

// crash ends a store as a kill would: its goroutine and its lock go, its files stay as they are.
func crash(s *Store) {
	close(s.done)
	s.wg.Wait()
	_ = s.lock.Close()
}

// compactAll compacts whatever is sparse, whether the disk needs it or not.
func (s *Store) compactAll() {
	for seg := s.log.sparse(); seg != nil; seg = nil {
		for _, e := range s.inSegment(seg) {
			s.rewrite(e, seg)
		}
	}
}

var small = tier.Limits{Memory: 256 << 10, Files: 64 << 20, Largest: 128 << 10}

// The disk fills in the middle of a body that arrives: it is refused, what was filed before reads on,
// and files rest until it has room again.
func TestTheDiskFills(t *testing.T) {
	fs := noFaults()
	s := newStore(t, small, fs)
	before := text(1, 300<<10)
	b := mustKeep(t, s, before)
	fs.room.Store(100 << 10)
	if _, err := keep(s, 0, text(2, 600<<10)); !errors.Is(err, ErrNoCapacity) {
		t.Fatalf("a body that the disk has no room for: %v", err)
	}
	wantBody(t, b, before)
	fits := text(3, 60<<10)
	c := mustKeep(t, s, fits)
	wantBody(t, c, fits)
	fs.room.Store(-1)
	if n := s.cfg.Counters.Get("bodies_write_failed"); n == 0 {
		t.Error("not counted")
	}
	if f := s.Totals(); f.Bodies != 2 {
		t.Errorf("%+v", f)
	}
}

// What comes back from the disk changed, or not at all, is gone: never handed out.
func TestWhatDoesNotCheckIsNeverHandedOut(t *testing.T) {
	for name, spoil := range map[string]func(*faults){"flip": func(f *faults) { f.flip.Store(true) }, "eio": func(f *faults) { f.fail.Store(true) }} {
		fs := noFaults()
		s := newStore(t, small, fs)
		data := text(4, 300<<10)
		b := mustKeep(t, s, data)
		told := make(chan struct{}, 2)
		b.OnEvicted(func() { told <- struct{}{} })
		spoil(fs)
		got, err := read(b)
		if err == nil || len(got) > 0 {
			t.Errorf("%s: %d bytes, %v", name, len(got), err)
		}
		<-told
		if _, err := b.Open(); !errors.Is(err, ErrEvicted) {
			t.Errorf("%s: opens: %v", name, err)
		}
		b.Release()
	}
}

// A short write is a failed one.
func TestAShortWrite(t *testing.T) {
	fs := noFaults()
	s := newStore(t, small, fs)
	fs.short.Store(true)
	if _, err := keep(s, 0, text(5, 900<<10)); !errors.Is(err, ErrNoCapacity) {
		t.Errorf("%v", err)
	}
	if f := s.Totals(); f.Bodies != 0 || f.Memory != 0 {
		t.Errorf("%+v", f)
	}
}

// A body that is dropped while it is read, as for a hedge, is read to its end.
func TestABodyDroppedWhileItIsRead(t *testing.T) {
	for _, size := range []int{100 << 10, 400 << 10} {
		s := newStore(t, small, nil)
		data := text(6, size)
		b := mustKeep(t, s, data)
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
		s.log.sweep()
		rest, err := io.ReadAll(r)
		if err != nil || !bytes.Equal(append(first, rest...), data) {
			t.Errorf("%d bytes: %v", len(rest), err)
		}
		_ = r.Close()
	}
}

// The same body from a hundred queries lies here once, until the last of them has ended.
func TestABodyFromAHundredQueries(t *testing.T) {
	s := newStore(t, small, nil)
	data := text(7, 100<<10)
	var holds []*Body
	for range 100 {
		holds = append(holds, mustKeep(t, s, data))
	}
	if f := s.Totals(); f.Bodies != 1 || f.Memory != int64(len(data)) || f.Shared != 99 {
		t.Errorf("%+v", f)
	}
	for i, b := range holds {
		wantBody(t, b, data)
		b.MarkSent()
		b.Release()
		if f := s.Totals(); i < 99 && f.Bodies != 1 || i == 99 && f.Bodies != 0 {
			t.Fatalf("after %d: %+v", i+1, f)
		}
	}
}

// A folder that cannot be used leaves the memory tier; what a process that is no more left is
// removed, what one that runs has is not.
func TestFoldersOfOtherProcesses(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	cfg := Config{Limits: small, Dir: filepath.Join(file, "none"), Counters: metrics.NewCounters(), Now: func() time.Duration { return 0 }}
	broken := Open(cfg)
	if broken.log != nil {
		t.Error("files in a folder that cannot be")
	}
	if _, err := keep(broken, 0, text(1, 100<<10)); err != nil {
		t.Errorf("memory alone: %v", err)
	}
	broken.Close()

	left := filepath.Join(dir, ownPrefix+"left")
	if err := os.MkdirAll(left, 0o700); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"lock", "seg-00000001"} {
		if err := os.WriteFile(filepath.Join(left, name), []byte("x"), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	cfg.Dir = dir
	one := Open(cfg)
	if _, err := os.Stat(left); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("what a crash left: %v", err)
	}
	data := text(2, 400<<10)
	b := mustKeep(t, one, data)
	two := Open(cfg)
	wantBody(t, b, data)
	two.Close()
	wantBody(t, b, data)
	one.Close()
	if rest, _ := filepath.Glob(filepath.Join(dir, ownPrefix+"*")); len(rest) != 0 {
		t.Errorf("left behind: %v", rest)
	}
}

// A large body arrives while a server stands still and every body held is yet to be written to it: none of these
// is given up; the newcomer goes to a file, or is refused where there is none.
func TestALargeBodyWhileAllOthersWait(t *testing.T) {
	for _, files := range []int64{0, 8 << 20} {
		s := newStore(t, tier.Limits{Memory: 256 << 10, Files: files, Largest: 1 << 20}, nil)
		var held []*Body
		for i := range 4 {
			held = append(held, mustKeep(t, s, text(uint64(i), 60<<10)))
		}
		newcomer := text(9, 500<<10)
		b, err := keep(s, 0, newcomer)
		if files == 0 && !errors.Is(err, ErrNoCapacity) || files > 0 && err != nil {
			t.Fatalf("with %d bytes of files: %v", files, err)
		}
		if b != nil {
			wantBody(t, b, newcomer)
		}
		for i, h := range held {
			wantBody(t, h, text(uint64(i), 60<<10))
		}
	}
}

// The folder vanishes in the middle of a run: what needs a new file is refused or stays in memory, and
// nothing else comes to harm.
func TestTheFolderVanishes(t *testing.T) {
	s := newStore(t, small, nil)
	if err := os.RemoveAll(s.own); err != nil {
		t.Fatal(err)
	}
	if _, err := keep(s, 0, text(1, 600<<10)); !errors.Is(err, ErrNoCapacity) {
		t.Errorf("%v", err)
	}
	data := text(2, 100<<10)
	wantBody(t, mustKeep(t, s, data), data)
}

// Many bodies under a small budget stay under it, while many goroutines write, read and let go.
func TestManyAtOnce(t *testing.T) {
	s := newStore(t, tier.Limits{Memory: 512 << 10, Files: 1 << 20, Largest: 64 << 10}, nil)
	var wg sync.WaitGroup
	for g := range 8 {
		wg.Go(func() {
			for i := range 60 {
				data := text(uint64(g*7+i%5), 20<<10+i*1000)
				b, err := keep(s, 0, data)
				if err != nil {
					continue
				}
				b.MarkSent()
				if got, err := read(b); err == nil && !bytes.Equal(got, data) {
					t.Error("another body")
				}
				b.Release()
			}
		})
	}
	wg.Wait()
	if f := s.Totals(); f.Bodies != 0 || f.Memory != 0 || f.Files != 0 {
		t.Errorf("%+v", f)
	}
}

// ENOSPC for real: a child process under a file-size limit of its own, whose disk is full for it.
func TestARealFileSizeLimit(t *testing.T) {
	if os.Getenv("BODIES_CHILD") != "" {
		child(t)
		return
	}
	cmd := exec.Command(os.Args[0], "-test.run=^TestARealFileSizeLimit$", "-test.v")
	cmd.Env = append(os.Environ(), "BODIES_CHILD=1")
	out, err := cmd.CombinedOutput()
	if err != nil || !strings.Contains(string(out), "refused and went on") {
		t.Fatalf("%v\n%s", err, out)
	}
}

func child(t *testing.T) {
	limit := syscall.Rlimit{Cur: 200 << 10, Max: 200 << 10}
	if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &limit); err != nil {
		t.Fatal(err)
	}
	s := newStore(t, small, nil)
	first := text(1, 150<<10)
	b := mustKeep(t, s, first)
	if _, err := keep(s, 0, text(2, 600<<10)); !errors.Is(err, ErrNoCapacity) {
		t.Fatalf("past the limit: %v", err)
	}
	wantBody(t, b, first)
	fmt.Println("refused and went on")
}

// FuzzRecord: whatever lies on the disk, a record is what was written or does not check.
func FuzzRecord(f *testing.F) {
	l := newLog(osFS{}, f.TempDir())
	r, err := l.append([]byte("some text"))
	if err != nil {
		f.Fatal(err)
	}
	good := make([]byte, headSize+r.n)
	if _, err := r.seg.disk.ReadAt(good, 0); err != nil {
		f.Fatal(err)
	}
	f.Add(good, 9)
	f.Add(good[:12], 9)
	f.Add([]byte{}, 0)
	f.Fuzz(func(t *testing.T, b []byte, n int) {
		data, err := parseRecord(b, n)
		if err == nil && (len(data) != n || n < 0) || err != nil && !errors.Is(err, ErrCorrupt) {
			t.Fatalf("%d bytes for %d: %v", len(data), n, err)
		}
	})
}

func BenchmarkKeep(b *testing.B) {
	for _, size := range []int{8 << 10, 64 << 10} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			s := newStore(b, small, nil)
			data := text(1, size)
			b.SetBytes(int64(size))
			b.ReportAllocs()
			for b.Loop() {
				mustKeep(b, s, data).Release()
			}
		})
	}
}
