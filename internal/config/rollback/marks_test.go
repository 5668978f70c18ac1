package rollback

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
)

// disk is an instance's: what a process writes and an image keeps.
type disk struct {
	boot uint64
	mark Position
}

// An instance that starts, works, crashes and starts again is never refused, whatever is lost, repeated or late of its
// reports; one that comes back with an image of its disk is refused as soon as a report of what the image lacks was heard.
func TestOnlyOldDisksAreRefused(t *testing.T) {
	for seed := range uint64(2000) {
		rng := rand.New(rand.NewPCG(seed, 1))
		m, nonce := NewDetector(), uint64(0)
		var d, image, heard disk
		var began Position
		var sent []Report
		start := func() {
			nonce++
			d.boot++
			began = d.mark
		}
		report := func() Report { return Report{"n1", d.boot, nonce, began, d.mark} }
		start()
		for range 60 {
			switch rng.IntN(6) {
			case 0, 1:
				d.mark = Position{d.mark.Term + rng.Uint64N(2), d.mark.Index + rng.Uint64N(3)}
			case 2:
				r := report()
				if sent = append(sent, r); rng.IntN(3) > 0 {
					if err := m.Observe(r); err != nil {
						t.Fatalf("seed %d: an honest instance is refused: %v", seed, err)
					}
					heard = d
				}
			case 3: // a late or repeated one: what comes of it reaches nobody if it is of an earlier process
				if len(sent) > 0 {
					r := sent[rng.IntN(len(sent))]
					if err := m.Observe(r); err != nil && r.Incarnation == d.boot {
						t.Fatalf("seed %d: %v", seed, err)
					}
					if r.Incarnation >= heard.boot {
						heard = disk{r.Incarnation, heard.mark.max(r.Current)}
					}
				}
			case 4:
				start()
			case 5:
				image = d
			}
		}
		lacks := image.mark.Behind(heard.mark) || image.boot < heard.boot
		d = image
		start()
		if err := m.Observe(report()); lacks != errors.Is(err, ErrRolledBack) {
			t.Fatalf("seed %d: image %+v, heard %+v: %v", seed, image, heard, err)
		}
	}
}

// A copy of a disk that runs beside the first is refused, and so is the first from then on: neither is to be trusted.
func TestACopyRunsBeside(t *testing.T) {
	m := NewDetector()
	first, copied := Report{ID: "n1", Incarnation: 2, Nonce: 7}, Report{ID: "n1", Incarnation: 3, Nonce: 8, Current: Position{1, 5}}
	if err := errors.Join(m.Observe(first), m.Observe(copied)); err != nil {
		t.Fatal(err) // a later start: nothing tells it from an honest one
	}
	if err := m.Observe(first); !errors.Is(err, ErrRolledBack) {
		t.Error("the process before goes on, beside a later one")
	}
	copied.Nonce = 9
	if err := m.Observe(copied); !errors.Is(err, ErrRolledBack) {
		t.Error("two processes of one start")
	}
}

// Strangers cannot fill the memory, and who is no member any more is forgotten.
func TestMemoryIsBounded(t *testing.T) {
	m := NewDetector()
	for i := range 3 * MaxInstances {
		if err := m.Observe(Report{ID: fmt.Sprint(i), Incarnation: 9}); err != nil || len(m.instances) > MaxInstances {
			t.Fatal(len(m.instances), err)
		}
	}
	m.Retain([]string{"1", "nobody"})
	if err := m.Observe(Report{ID: "0", Incarnation: 1}); len(m.instances) != 2 || err != nil {
		t.Error(len(m.instances), err)
	}
	if err := m.Observe(Report{ID: "1", Incarnation: 1}); !errors.Is(err, ErrRolledBack) {
		t.Error("a member was forgotten")
	}
}
