package experiment

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"runtime/debug"
	"strconv"
	"strings"
	"time"

	"linkpass/internal/bodystore"
	"linkpass/internal/bodystore/tier"
	"linkpass/internal/metrics"
)

// Values of the contents parameter of HoldBodies.
const (
	holdDistinct = "distinct" // all bodies differ
	holdShared   = "shared"   // there are holdSharedContents different bodies
	holdTight    = "tight"    // all bodies differ, under the default budget
)

const (
	holdBodies         = 10_000
	holdBodyBytes      = 64 << 10
	holdBudgetBytes    = 16 << 20
	holdSharedContents = 100
	holdMemoryLimit    = 24 << 20 // bytes; what the program sets for a limit of 40 MB

	holdTightBudgetBytes = 4 << 20  // bytes; the default budget
	holdTightMemoryLimit = 19 << 20 // bytes; what the program sets for a limit of 32 MB
)

// memoryUsage is the memory use of processes that hold holdBodies bodies.
type memoryUsage struct {
	overBudgetMB float64 // peak resident memory minus the budget; -1 if not measured
	baseMB       float64 // peak resident memory before the first body, contained in overBudgetMB
	sharedShare  float64 // bytes held over bytes written if bodies share contents, from 0 to 1
}

// measureMemory runs HoldBodies in separate processes, once with distinct and once with shared contents.
func measureMemory() (m memoryUsage, err error) {
	distinct, err := runHoldCommand(holdDistinct)
	if err != nil {
		return m, err
	}
	shared, err := runHoldCommand(holdShared)
	if err != nil {
		return m, err
	}
	return memoryUsage{
		overBudgetMB: (distinct["resident"] - holdBudgetBytes) / (1 << 20),
		baseMB:       distinct["base"] / (1 << 20),
		sharedShare:  shared["held"] / float64(holdBodies*holdBodyBytes),
	}, nil
}

// runHoldCommand runs this program's command hold in a separate process and returns the figures that it prints, by
// name.
func runHoldCommand(contents string) (figures map[string]float64, err error) {
	self, err := os.Executable()
	if err != nil {
		return nil, fmt.Errorf("experiment: find the path of this program: %w", err)
	}
	out, err := exec.Command(self, "hold", contents).Output()
	if err != nil {
		return nil, fmt.Errorf("experiment: run hold %s: %w", contents, err)
	}
	figures = map[string]float64{}
	for _, field := range strings.Fields(string(out)) {
		key, value, _ := strings.Cut(field, "=")
		figures[key], _ = strconv.ParseFloat(value, 64)
	}
	return figures, nil
}

// HoldBodies stores count bodies, reads each of them once and prints one line of figures: the peak resident memory
// before the first body and at the end, and the store's use of memory, files and disk, all in bytes. The parameter
// contents is "distinct", "shared" or "tight". HoldBodies fails if the bodies' directory cannot be created, or a body
// cannot be stored or read.
func HoldBodies(contents string, count int) error {
	base := peakResidentBytes()
	budget, limit := int64(holdBudgetBytes), int64(holdMemoryLimit)
	if contents == holdTight {
		budget, limit = holdTightBudgetBytes, holdTightMemoryLimit
	}
	debug.SetMemoryLimit(limit)
	dir, err := os.MkdirTemp("", "linkpass-hold-")
	if err != nil {
		return fmt.Errorf("experiment: create a directory for bodies: %w", err)
	}
	defer os.RemoveAll(dir)
	store := openHoldStore(dir, budget)
	defer store.Close()
	bodies, err := storeBodies(store, contents, count)
	if err != nil {
		return err
	}
	totals := store.Totals()
	for i, body := range bodies { // a retry reads a body in the same way
		if err := readBody(body); err != nil {
			return fmt.Errorf("experiment: read body %d: %w", i, err)
		}
	}
	fmt.Printf("base=%d resident=%d held=%d bodies=%d memory=%d files=%d disk=%d\n",
		base, peakResidentBytes(), totals.Memory+totals.Files, totals.Bodies, totals.Memory, totals.Files, totals.Disk)
	for _, body := range bodies {
		body.Release()
	}
	return nil
}

func openHoldStore(dir string, budget int64) *bodystore.Store {
	began := time.Now()
	return bodystore.Open(bodystore.Config{
		Limits:   tier.Limits{Memory: budget, Files: 1 << 30, MaxMemoryBodySize: 1 << 20},
		Classes:  []string{"lookup"},
		Dir:      dir,
		Counters: metrics.NewCounters(),
		Now:      func() time.Duration { return time.Since(began) },
	})
}

// storeBodies stores count bodies of the same random bytes, except that the first eight bytes differ between contents.
func storeBodies(store *bodystore.Store, contents string, count int) (bodies []*bodystore.Body, err error) {
	data := make([]byte, holdBodyBytes)
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range data {
		data[i] = byte(rng.Uint32())
	}
	for i := range count {
		n := i
		if contents == holdShared {
			n %= holdSharedContents
		}
		binary.LittleEndian.PutUint64(data, uint64(n))
		body, err := storeBody(store, data)
		if err != nil {
			return nil, fmt.Errorf("experiment: store body %d: %w", i, err)
		}
		bodies = append(bodies, body)
	}
	return bodies, nil
}

// storeBody stores a body. It retries while the store has no capacity, as a client would.
func storeBody(store *bodystore.Store, data []byte) (*bodystore.Body, error) {
	for {
		w := store.NewWriter(0, 1)
		_, err := w.Write(data)
		if errors.Is(err, bodystore.ErrNoCapacity) {
			time.Sleep(time.Millisecond)
			continue
		}
		if err != nil {
			return nil, err
		}
		return w.Commit()
	}
}

func readBody(body *bodystore.Body) error {
	r, err := body.Open()
	if err != nil {
		return err
	}
	defer r.Close()
	buf := make([]byte, 16<<10)
	for {
		if _, err := r.Read(buf); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
	}
}

// peakResidentBytes returns the peak resident memory of this process, or 0 if the system does not report it.
func peakResidentBytes() int {
	status, err := os.ReadFile("/proc/self/status")
	if err != nil {
		return 0
	}
	for line := range bytes.Lines(status) {
		if fields := strings.Fields(string(line)); len(fields) > 1 && fields[0] == "VmHWM:" {
			kib, _ := strconv.Atoi(fields[1])
			return kib << 10
		}
	}
	return 0
}
