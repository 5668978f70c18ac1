package bodystore

import (
	"bytes"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"linkpass/internal/bodystore/tier"
	"linkpass/internal/metrics"
)

var smallLimits = tier.Limits{Memory: 256 << 10, Files: 64 << 20, MaxMemoryBodySize: 128 << 10}

func newStore(t testing.TB, l tier.Limits, fs FS) *Store {
	t.Helper()
	start := time.Now()
	dir := ""
	if l.Files > 0 {
		dir = t.TempDir()
	}
	s := Open(Config{Limits: l, Classes: []string{"lookup", "table"}, Dir: dir, FS: fs, Counters: metrics.NewCounters(),
		Now: func() time.Duration { return time.Since(start) }})
	t.Cleanup(s.Close)
	return s
}

func randomBytes(seed uint64, n int) []byte {
	rng := rand.New(rand.NewPCG(seed, 9))
	out := make([]byte, n)
	for i := range out {
		out[i] = byte(rng.Uint32())
	}
	return out
}

func storeBody(s *Store, class int, data []byte) (*Body, error) {
	w := s.NewWriter(class, 1)
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	return w.Commit()
}

func mustStore(t testing.TB, s *Store, data []byte) *Body {
	t.Helper()
	b, err := storeBody(s, 0, data)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func readBody(b *Body) ([]byte, error) {
	r, err := b.Open()
	if err != nil {
		return nil, err
	}
	defer r.Close()
	return io.ReadAll(r)
}

func wantBody(t testing.TB, b *Body, data []byte) {
	t.Helper()
	if got, err := readBody(b); err != nil || !bytes.Equal(got, data) {
		t.Fatalf("read %d bytes, err = %v, want the %d bytes stored", len(got), err, len(data))
	}
}

// waitForMoves waits until no move to a file is queued or in flight.
func waitForMoves(s *Store) {
	for {
		s.mu.Lock()
		idle := len(s.moveQueue) == 0
		for _, e := range s.entries {
			idle = idle && (len(e.chunks) == 0 || s.state.TierOf(e.id) == tier.Memory && !s.state.IsMoving(e.id))
		}
		s.mu.Unlock()
		if idle {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// crash ends a store as SIGKILL would: its goroutine ends, its directory is unlocked and its files stay.
func crash(s *Store) {
	close(s.done)
	s.wg.Wait()
	_ = s.dirLock.Close()
}

// compactSparsest compacts the sparsest segment, however much disk the segments use.
func (s *Store) compactSparsest() {
	for seg := s.log.sparsest(); seg != nil; seg = nil {
		for _, e := range s.entriesIn(seg) {
			s.compactEntry(e, seg)
		}
	}
}
