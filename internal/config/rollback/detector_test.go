package rollback

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
)

// disk is an instance's: what a process writes and an image keeps.
type disk struct {
	incarnation uint64
	position    Position
}

// An instance that starts, works, crashes and starts again is never refused, whatever is lost, repeated or late of its
// reports; one that comes back with an image of its disk is refused as soon as a report of what the image lacks was observed.
func TestObserveRejectsOnlyRolledBackDisks(t *testing.T) {
	for seed := range uint64(2000) {
		rng := rand.New(rand.NewPCG(seed, 1))
		detector, nonce := NewDetector(), uint64(0)
		var d, image, observed disk
		var atStart Position
		var sent []Report
		start := func() {
			nonce++
			d.incarnation++
			atStart = d.position
		}
		report := func() Report { return Report{"n1", d.incarnation, nonce, atStart, d.position} }
		start()
		for range 60 {
			switch rng.IntN(6) {
			case 0, 1:
				d.position = Position{d.position.Term + rng.Uint64N(2), d.position.Index + rng.Uint64N(3)}
			case 2:
				r := report()
				if sent = append(sent, r); rng.IntN(3) > 0 {
					if err := detector.Observe(r); err != nil {
						t.Fatalf("seed %d: an honest instance is refused: %v", seed, err)
					}
					observed = d
				}
			case 3: // a late or repeated one: what comes of it reaches nobody if it is of an earlier process
				if len(sent) > 0 {
					r := sent[rng.IntN(len(sent))]
					if err := detector.Observe(r); err != nil && r.Incarnation == d.incarnation {
						t.Fatalf("seed %d: %v", seed, err)
					}
					if r.Incarnation >= observed.incarnation {
						observed = disk{r.Incarnation, observed.position.max(r.Current)}
					}
				}
			case 4:
				start()
			case 5:
				image = d
			}
		}
		lacks := image.position.Behind(observed.position) || image.incarnation < observed.incarnation
		d = image
		start()
		if err := detector.Observe(report()); lacks != errors.Is(err, ErrRolledBack) {
			t.Fatalf("seed %d: image %+v, observed %+v: %v", seed, image, observed, err)
		}
	}
}

// A copy of a disk that runs beside the first is refused, and so is the first from then on: neither is to be trusted.
func TestObserveRejectsCopiedDisk(t *testing.T) {
	detector := NewDetector()
	first, copied := Report{ID: "n1", Incarnation: 2, Nonce: 7}, Report{ID: "n1", Incarnation: 3, Nonce: 8, Current: Position{1, 5}}
	if err := errors.Join(detector.Observe(first), detector.Observe(copied)); err != nil {
		t.Fatal(err) // a later start: nothing tells it from an honest one
	}
	if err := detector.Observe(first); !errors.Is(err, ErrRolledBack) {
		t.Error("the process before goes on, beside a later one")
	}
	copied.Nonce = 9
	if err := detector.Observe(copied); !errors.Is(err, ErrRolledBack) {
		t.Error("two processes of one start")
	}
}

// Strangers cannot fill the memory, and who is no member any more is forgotten.
func TestDetectorMemoryIsBounded(t *testing.T) {
	detector := NewDetector()
	for i := range 3 * MaxInstances {
		if err := detector.Observe(Report{ID: fmt.Sprint(i), Incarnation: 9}); err != nil || len(detector.instances) > MaxInstances {
			t.Fatal(len(detector.instances), err)
		}
	}
	detector.Retain([]string{"1", "nobody"})
	if err := detector.Observe(Report{ID: "0", Incarnation: 1}); len(detector.instances) != 2 || err != nil {
		t.Error(len(detector.instances), err)
	}
	if err := detector.Observe(Report{ID: "1", Incarnation: 1}); !errors.Is(err, ErrRolledBack) {
		t.Error("a member was forgotten")
	}
}
