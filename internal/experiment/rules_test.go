package experiment

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// Guards against a broken rule in a short run, and against missing tables and charts. The figures are not checked.
func TestReshapeKeepsTheRules(t *testing.T) {
	isolate(t)
	dir := t.TempDir()
	ok, err := RunResharding(ReshardingConfig{Seeds: []uint64{7}, Seconds: 4, Servers: 12, Rate: 30, Every: time.Second, Out: dir})
	if err != nil || !ok {
		t.Fatalf("rules kept = %v, want true, error %v", ok, err)
	}
	table, err := os.ReadFile(filepath.Join(dir, "reshape.csv"))
	if err != nil || strings.Count(string(table), "\n") != 1+len(reshardingRuns) {
		t.Errorf("reshape.csv has %d lines, want %d, error %v:\n%s", strings.Count(string(table), "\n"), 1+len(reshardingRuns), err, table)
	}
	for _, name := range []string{"reshape.md", "reshape.svg"} {
		if _, err := os.Stat(filepath.Join(dir, name)); err != nil {
			t.Error(err)
		}
	}
}

// Guards against a broken rule in a short run. The only figure checked is the one that is a rule: each drain takes
// effect within drainObjective, one second.
func TestDrainsKeepTheRules(t *testing.T) {
	isolate(t)
	if ok, err := RunDrains(DrainsConfig{Seeds: []uint64{3}, Drains: 4, Rate: 20, Out: t.TempDir()}); err != nil || !ok {
		t.Fatalf("rules kept = %v, want true, error %v", ok, err)
	}
}
