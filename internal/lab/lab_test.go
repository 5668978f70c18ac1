package lab

import (
	"fmt"
	"io"
	"linkpass/internal/event"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// A short run of the experiment keeps every rule and leaves its tables and its chart. How fast it
// was is not looked at.
func TestReshapeKeepsTheRules(t *testing.T) {
	event.SetOutput(io.Discard, false)
	t.Cleanup(func() { event.SetOutput(os.Stderr, false) })
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

// A thousand bodies of 64 KiB under the default budget of 32 MB: held whole they would take 62 MiB.
// The program is built without the race detector, whose shadow of memory is no program's.
func TestBodiesUnder32MB(t *testing.T) {
	bin := filepath.Join(t.TempDir(), "lab")
	if out, err := exec.Command("go", "build", "-o", bin, "linkpass/cmd/linkpass-lab").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	cmd := exec.Command(bin, "hold", "tight", "--bodies", "1000")
	cmd.Env = append(os.Environ(), "TMPDIR="+t.TempDir())
	out, err := cmd.Output()
	if err != nil {
		t.Fatal(err)
	}
	var base, resident, held int64
	if _, err := fmt.Sscanf(string(out), "base=%d resident=%d held=%d", &base, &resident, &held); err != nil || held != 1000*holdSize {
		t.Fatalf("%s %v", out, err)
	}
	if resident-base > 20<<20 {
		t.Errorf("%d bytes more resident than before the first body", resident-base)
	}
}

// A server that claims a version that does not exist, one that is cut off, one that is slow and one that
// speaks plain frames: searches of the whole index are answered whole, by the twins and by the plain one.
func TestSearchesBesideBadServers(t *testing.T) {
	event.SetOutput(io.Discard, false)
	t.Cleanup(func() { event.SetOutput(os.Stderr, false) })
	t.Setenv("TMPDIR", t.TempDir())
	d, err := StartDemo(3)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	s := d.Fleet().Servers
	s[0].Lie(999)
	s[2].Cut(true)
	s[4].Slow(5)
	n := d.w.nodes[0]
	if status, body, err := d.w.ask(n, "PUT", "/_cluster/settings", `{"persistent":{"servers.s-06.protocol":"plain"}}`); err != nil || status != 200 {
		t.Fatalf("%d %s %v", status, body, err)
	}
	for range 12 {
		status, body, err := d.w.ask(n, "POST", "/tables/_search", `{"size":1000}`)
		if err != nil || status != 200 || !strings.Contains(string(body), `"failed":0`) {
			t.Fatalf("%d %.300s %v", status, body, err)
		}
	}
	if s[0].Stale.Load() == 0 || d.w.sum("attempts_ahead") == 0 {
		t.Errorf("the liar was never asked: %d, %d", s[0].Stale.Load(), d.w.sum("attempts_ahead"))
	}
	s[2].Cut(false)
}
