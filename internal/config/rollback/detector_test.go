package rollback

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
)

// disk is the data that a process of an instance writes and that a disk image contains.
type disk struct {
	incarnation uint64
	position    Position
}

// instance is a simulated instance with its disk, an image of the disk, and the reports that it sent to a detector.
type instance struct {
	rng      *rand.Rand
	detector *Detector
	disk     disk
	image    disk
	observed disk // the latest incarnation and the furthest position that reached the detector
	nonce    uint64
	atStart  Position
	sent     []Report
}

func (i *instance) start() {
	i.nonce++
	i.disk.incarnation++
	i.atStart = i.disk.position
}

func (i *instance) report() Report {
	return Report{
		ID:          "n1",
		Incarnation: i.disk.incarnation,
		Nonce:       i.nonce,
		AtStart:     i.atStart,
		Current:     i.disk.position,
	}
}

// sendReport sends a report, which may be lost.
func (i *instance) sendReport() error {
	r := i.report()
	i.sent = append(i.sent, r)
	if i.rng.IntN(3) == 0 {
		return nil
	}
	err := i.detector.Observe(r)
	i.observed = i.disk
	return err
}

// repeatReport delivers an earlier report with a delay or a second time. An error for a process that has ended is
// dropped.
func (i *instance) repeatReport() error {
	if len(i.sent) == 0 {
		return nil
	}
	r := i.sent[i.rng.IntN(len(i.sent))]
	err := i.detector.Observe(r)
	if r.Incarnation >= i.observed.incarnation {
		i.observed = disk{incarnation: r.Incarnation, position: i.observed.position.max(r.Current)}
	}
	if r.Incarnation != i.disk.incarnation {
		return nil
	}
	return err
}

// step performs a random action of an instance whose disk was not rolled back.
func (i *instance) step() error {
	switch i.rng.IntN(6) {
	case 0, 1:
		i.disk.position.Term += i.rng.Uint64N(2)
		i.disk.position.Index += i.rng.Uint64N(3)
	case 2:
		return i.sendReport()
	case 3:
		return i.repeatReport()
	case 4:
		i.start()
	case 5:
		i.image = i.disk
	}
	return nil
}

// An instance that starts, writes, crashes and starts again is never rejected, whichever reports are lost, repeated or
// delayed. An instance that starts on an image of its disk is rejected at its first report if the detector observed a
// report of data that the image lacks.
func TestObserveRejectsOnlyRolledBackDisks(t *testing.T) {
	for seed := range uint64(2000) {
		i := &instance{rng: rand.New(rand.NewPCG(seed, 1)), detector: NewDetector()}
		i.start()
		for range 60 {
			if err := i.step(); err != nil {
				t.Fatalf("seed %d: an instance whose disk was not rolled back is rejected: %v", seed, err)
			}
		}
		imageOutdated := i.image.position.Behind(i.observed.position) || i.image.incarnation < i.observed.incarnation
		i.disk = i.image
		i.start()
		if err := i.detector.Observe(i.report()); imageOutdated != errors.Is(err, ErrRolledBack) {
			t.Fatalf("seed %d: image %+v, observed %+v: error = %v, want ErrRolledBack: %t",
				seed, i.image, i.observed, err, imageOutdated)
		}
	}
}

// If a process runs on a copy of a disk while the process on the original still runs, the detector rejects the reports
// of both: neither can be trusted.
func TestObserveRejectsCopiedDisk(t *testing.T) {
	detector := NewDetector()
	first := Report{ID: "n1", Incarnation: 2, Nonce: 7}
	copied := Report{ID: "n1", Incarnation: 3, Nonce: 8, Current: Position{Term: 1, Index: 5}}
	if err := errors.Join(detector.Observe(first), detector.Observe(copied)); err != nil {
		t.Fatal(err) // the report of the copy looks like that of an ordinary restart
	}
	if err := detector.Observe(first); !errors.Is(err, ErrRolledBack) {
		t.Errorf("report of an earlier incarnation: error = %v, want ErrRolledBack", err)
	}
	copied.Nonce = 9
	if err := detector.Observe(copied); !errors.Is(err, ErrRolledBack) {
		t.Errorf("report of another process with the same incarnation: error = %v, want ErrRolledBack", err)
	}
}

// Reports of unknown instances cannot exhaust memory, and Retain drops instances that are no longer members.
func TestDetectorBoundsInstances(t *testing.T) {
	detector := NewDetector()
	for i := range 3 * MaxInstances {
		err := detector.Observe(Report{ID: fmt.Sprint(i), Incarnation: 9})
		if err != nil || len(detector.instances) > MaxInstances {
			t.Fatalf("after report %d: %d instances, want at most %d; error = %v, want nil",
				i, len(detector.instances), MaxInstances, err)
		}
	}
	detector.Retain([]string{"1", "unknown"})
	err := detector.Observe(Report{ID: "0", Incarnation: 1})
	if len(detector.instances) != 2 || err != nil {
		t.Errorf("after Retain: %d instances, want 2; error = %v, want nil", len(detector.instances), err)
	}
	if err := detector.Observe(Report{ID: "1", Incarnation: 1}); !errors.Is(err, ErrRolledBack) {
		t.Errorf("earlier incarnation of a retained member: error = %v, want ErrRolledBack", err)
	}
}
