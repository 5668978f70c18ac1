package experiment

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// A short run breaks no rule and writes tables and chart; its figures are not checked.
func TestReshapeKeepsTheRules(t *testing.T) {
	isolate(t)
	dir := t.TempDir()
	ok, err := RunResharding(ReshardingConfig{Seeds: []uint64{7}, Seconds: 4, Servers: 12, Rate: 30, Every: time.Second, Out: dir})
	if err != nil || !ok {
		t.Fatalf("rules kept: %v, %v", ok, err)
	}
	table, err := os.ReadFile(filepath.Join(dir, "reshape.csv"))
	if err != nil || strings.Count(string(table), "\n") != 1+len(reshardingRuns) {
		t.Errorf("%s %v", table, err)
	}
	for _, name := range []string{"reshape.md", "reshape.svg"} {
		if _, err := os.Stat(filepath.Join(dir, name)); err != nil {
			t.Error(err)
		}
	}
}

// A short run breaks no rule; of its figures only the second that is a rule is checked.
func TestDrainsKeepTheRules(t *testing.T) {
	isolate(t)
	if ok, err := RunDrains(DrainsConfig{Seeds: []uint64{3}, Orders: 4, Rate: 20, Out: t.TempDir()}); err != nil || !ok {
		t.Fatalf("rules kept: %v, %v", ok, err)
	}
}
