package bodystore

import (
	"bytes"
	"errors"
	"fmt"
	"sync"
	"testing"

	"linkpass/internal/bodystore/tier"
)

// A body that many queries share is stored once, until the last of them releases it.
func TestCommitSharesEqualBodies(t *testing.T) {
	s := newStore(t, smallLimits, nil)
	data := randomBytes(7, 100<<10)
	var refs []*Body
	for range 100 {
		refs = append(refs, mustStore(t, s, data))
	}
	if totals := s.Totals(); totals.Bodies != 1 || totals.Memory != int64(len(data)) || totals.Shared != 99 {
		t.Errorf("totals = %+v, want 1 body, %d bytes in memory, 99 shared", totals, len(data))
	}
	for i, b := range refs {
		wantBody(t, b, data)
		b.MarkSent()
		b.Release()
		if totals := s.Totals(); i < 99 && totals.Bodies != 1 || i == 99 && totals.Bodies != 0 {
			t.Fatalf("totals after %d of 100 releases = %+v, want 1 body until the last release", i+1, totals)
		}
	}
}

// No pending body is evicted to store a large one. The large one is stored in a file, or rejected without files.
func TestWriteOfLargeBodyKeepsPendingBodies(t *testing.T) {
	for _, files := range []int64{0, 8 << 20} {
		s := newStore(t, tier.Limits{Memory: 256 << 10, Files: files, MaxMemoryBodySize: 1 << 20}, nil)
		var pending []*Body
		for i := range 4 {
			pending = append(pending, mustStore(t, s, randomBytes(uint64(i), 60<<10)))
		}
		large := randomBytes(9, 500<<10)
		b, err := storeBody(s, 0, large)
		if files == 0 && !errors.Is(err, ErrNoCapacity) || files > 0 && err != nil {
			t.Fatalf("storing a large body with %d bytes of files: err = %v, want an error only with 0", files, err)
		}
		if b != nil {
			wantBody(t, b, large)
		}
		for i, p := range pending {
			wantBody(t, p, randomBytes(uint64(i), 60<<10))
		}
	}
}

func TestStoreUnderConcurrentUse(t *testing.T) {
	s := newStore(t, tier.Limits{Memory: 512 << 10, Files: 1 << 20, MaxMemoryBodySize: 64 << 10}, nil)
	var wg sync.WaitGroup
	for g := range 8 {
		wg.Go(func() {
			for i := range 60 {
				data := randomBytes(uint64(g*7+i%5), 20<<10+i*1000)
				b, err := storeBody(s, 0, data)
				if err != nil {
					continue
				}
				b.MarkSent()
				if got, err := readBody(b); err == nil && !bytes.Equal(got, data) {
					t.Errorf("read %d bytes that differ from the %d bytes stored", len(got), len(data))
				}
				b.Release()
			}
		})
	}
	wg.Wait()
	if totals := s.Totals(); totals.Bodies != 0 || totals.Memory != 0 || totals.Files != 0 {
		t.Errorf("totals after all releases = %+v, want 0 bodies and bytes", totals)
	}
}

func BenchmarkStoreBody(b *testing.B) {
	for _, size := range []int{8 << 10, 64 << 10} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			s := newStore(b, smallLimits, nil)
			data := randomBytes(1, size)
			b.SetBytes(int64(size))
			b.ReportAllocs()
			for b.Loop() {
				mustStore(b, s, data).Release()
			}
		})
	}
}
