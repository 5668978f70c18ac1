package lab

import (
	"io"
	"log"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// A short run of the experiment keeps every rule and leaves its tables and its chart. How fast it
// was is not looked at.
func TestReshapeKeepsTheRules(t *testing.T) {
	log.SetOutput(io.Discard)
	t.Cleanup(func() { log.SetOutput(os.Stderr) })
	t.Setenv("TMPDIR", t.TempDir())
	dir := t.TempDir()
	ok, err := Reshape(ReshapeConfig{Seeds: []uint64{7}, Seconds: 4, Servers: 12, Rate: 30, Every: time.Second, Out: dir})
	if err != nil || !ok {
		t.Fatalf("rules kept: %v, %v", ok, err)
	}
	table, err := os.ReadFile(filepath.Join(dir, "reshape.csv"))
	if err != nil || strings.Count(string(table), "\n") != 1+len(reshapeRuns) {
		t.Errorf("%s %v", table, err)
	}
	for _, name := range []string{"reshape.md", "reshape.svg"} {
		if _, err := os.Stat(filepath.Join(dir, name)); err != nil {
			t.Error(err)
		}
	}
}
