package experiment

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

// sampleLoad returns a load result whose counts depend on n.
func sampleLoad(n int) *loadResult {
	r := newLoadResult()
	r.Queries, r.Complete, r.Partial, r.Rejected, r.Failed = 100+n, 90+n, 1, 2, 3
	r.OfferedWeight, r.ServedWeight = 120.5, 100.25+float64(n)
	r.Causes["untold"], r.Causes["timeout"] = n, 2*n
	for i := range 50 {
		_ = r.latency[0].RecordValue(int64(1000*i + n))
		_ = r.latency[1].RecordValue(int64(3000*i + n))
	}
	return r
}

func sampleResharding() (all []reshardingResult) {
	for _, seed := range []uint64{1, 2} {
		for i, run := range reshardingRuns {
			n := 10*int(seed) + i
			all = append(all, reshardingResult{
				loadResult:    sampleLoad(n),
				run:           run,
				seed:          seed,
				disruptions:   map[string]int{"split": n, "merge": n + 1, "move": n + 2},
				switched:      int64(n + 3),
				abandoned:     int64(n + 4),
				replans:       int64(n + 5),
				attempts:      int64(n + 6),
				attemptsMoved: int64(n + 7),
			})
		}
	}
	return all
}

func sampleBodies() (all []bodiesResult) {
	for _, seed := range []uint64{1, 2} {
		for i, run := range bodiesRuns {
			n := 10*int(seed) + i
			r := bodiesResult{loadResult: sampleLoad(n), run: run.name, seed: seed, counters: map[string]int64{}}
			for k, c := range classes {
				for j, name := range bodiesCounters {
					r.counters[name+"_"+c.name] = int64(n + j + k + 1)
				}
				for j, bucket := range evictedFinalBuckets {
					r.counters["body_evicted_final_ms_"+bucket+"_"+c.name] = int64((n + j + k) * i)
				}
			}
			all = append(all, r)
		}
	}
	return all
}

// captureOutput returns what f prints on standard output.
func captureOutput(t *testing.T, f func()) []byte {
	t.Helper()
	file, err := os.Create(filepath.Join(t.TempDir(), "stdout"))
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	stdout := os.Stdout
	os.Stdout = file
	defer func() { os.Stdout = stdout }()
	f()
	text, err := os.ReadFile(file.Name())
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// checkGolden compares got with a file of testdata.
func checkGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	want, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s: got\n%s\nwant\n%s", name, got, want)
	}
}

func checkGoldenFile(t *testing.T, dir, name string) {
	t.Helper()
	got, err := os.ReadFile(filepath.Join(dir, name))
	if err != nil {
		t.Fatal(err)
	}
	checkGolden(t, name, got)
}

func TestReshardingReportGolden(t *testing.T) {
	dir := t.TempDir()
	printed := captureOutput(t, func() {
		all := sampleResharding()
		fmt.Println(reportResharding(ReshardingConfig{Out: dir}, all))
		all[3].lateParts, all[4].warmupOverloads = 1, 2
		all[5].Lost, all[6].FalselyComplete, all[7].Duplicates, all[8].Unexplained = 3, 4, 5, 6
		fmt.Println(reportResharding(ReshardingConfig{}, all))
		fmt.Println(reportResharding(ReshardingConfig{}, nil))
	})
	checkGolden(t, "reshape.txt", printed)
	checkGoldenFile(t, dir, "reshape.csv")
	checkGoldenFile(t, dir, "reshape.md")
}

func TestBodiesReportGolden(t *testing.T) {
	dir := t.TempDir()
	printed := captureOutput(t, func() {
		all := sampleBodies()
		fmt.Println(reportBodies(BodiesConfig{Out: dir}, all))
		all[1].Lost, all[2].FalselyComplete, all[3].Duplicates = 1, 2, 3
		fmt.Println(reportBodies(BodiesConfig{}, all))
	})
	checkGolden(t, "bodies.txt", printed)
	checkGoldenFile(t, dir, "bodies.csv")
	checkGoldenFile(t, dir, "bodies.md")
}
