package experiment

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"linkpass/internal/adminapi"
	"linkpass/internal/config"
	"linkpass/internal/emulator"
	"linkpass/internal/endpoints"
	"linkpass/internal/eventlog"
	"linkpass/internal/http1"
	"linkpass/internal/store"
)

// A short run of the experiment keeps every rule and leaves its tables and its chart. How fast it
// was is not looked at.
func TestReshapeKeepsTheRules(t *testing.T) {
	eventlog.SetOutput(io.Discard, false)
	t.Cleanup(func() { eventlog.SetOutput(os.Stderr, false) })
	t.Setenv("TMPDIR", t.TempDir())
	dir := t.TempDir()
	ok, err := RunResharding(ReshardingConfig{Seeds: []uint64{7}, Seconds: 4, Servers: 12, Rate: 30, Every: time.Second, Out: dir})
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

// A thousand bodies of 64 KiB add no more than the default budget of 32 MB: held whole they would add 62 MiB. The peak
// has the collector's lag in it, which on a machine busy with other tests takes it from 13 MB to 22.
// The program is built without the race detector, whose shadow of memory is no program's.
func TestBodiesUnder32MB(t *testing.T) {
	bin := filepath.Join(t.TempDir(), "lab")
	if out, err := exec.Command("go", "build", "-o", bin, "linkpass/cmd/linkpass-lab").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	cmd := exec.Command(bin, "hold", "tight", "--bodies", "1000")
	cmd.Env = append(os.Environ(), "TMPDIR="+t.TempDir(), "GOMAXPROCS=2")
	out, err := cmd.Output()
	if err != nil {
		t.Fatal(err)
	}
	var base, resident, held int64
	if _, err := fmt.Sscanf(string(out), "base=%d resident=%d held=%d", &base, &resident, &held); err != nil || held != 1000*holdSize {
		t.Fatalf("%s %v", out, err)
	}
	if resident-base > 32<<20 {
		t.Errorf("%d bytes more resident than before the first body", resident-base)
	}
}

// A server that claims a version that does not exist, one that is cut off, one that is slow and one that
// speaks plain frames: searches of the whole index are answered whole, by the twins and by the plain one.
func TestSearchesBesideBadServers(t *testing.T) {
	eventlog.SetOutput(io.Discard, false)
	t.Cleanup(func() { eventlog.SetOutput(os.Stderr, false) })
	t.Setenv("TMPDIR", t.TempDir())
	d, err := StartDemo(3)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	s := d.Fleet().Servers
	s[0].ClaimShardMapVersion(999)
	s[2].Partition(true)
	s[4].SetSlowdown(5)
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
	if s[0].MovedParts.Load() == 0 || d.w.sum("attempts_unknown_shard_map") == 0 {
		t.Errorf("the liar was never asked: %d, %d", s[0].MovedParts.Load(), d.w.sum("attempts_unknown_shard_map"))
	}
	s[2].Partition(false)
}

// A backup that is taken while settings are written is one document that held, whole; restored into a cluster with other
// members it brings the settings, and neither the members nor where slices lie.
func TestBackupDuringWritesIntoAnotherCluster(t *testing.T) {
	eventlog.SetOutput(io.Discard, false)
	t.Cleanup(func() { eventlog.SetOutput(os.Stderr, false) })
	t.Setenv("TMPDIR", t.TempDir())
	here, there := cluster(t, 11, 3), cluster(t, 12, 1)
	call := func(n *node, method, path string, body []byte) *http1.Response {
		return adminapi.Handler{Coordinator: n.p}.Serve(context.Background(), 0, &http1.Request{Method: method, Path: "/v1" + path, Body: body})
	}
	stop, written := make(chan struct{}), make(chan int)
	go func() {
		for i := 1; ; i++ {
			select {
			case <-stop:
				written <- i
				return
			default:
			}
			// Both keys change together: a backup with one alone would be torn.
			text := fmt.Sprintf(`{"persistent":{"search.max_result_window":%d,"search.default_search_timeout":"%dms"}}`, 1000+i, 1000+i)
			if status, body, err := here.ask(here.nodes[i%3], "PUT", "/_cluster/settings", text); err != nil || status != 200 {
				t.Errorf("%d %s %v", status, body, err)
			}
		}
	}()
	var last []byte
	revision := uint64(0)
	for taken := 0; taken < 20; {
		res := call(here.nodes[taken%3], "GET", "/store/backup", nil)
		if res.Status != 200 { // it does not lead
			taken = (taken + 1) % 3
			continue
		}
		doc, err := adminapi.ReadBackup(res.Body)
		if err != nil {
			t.Fatal(err)
		}
		if want := fmt.Sprintf("%dms", doc.Search.MaxResultWindow); doc.Search.Timeout != "" && doc.Search.Timeout != want || doc.Revision < revision {
			t.Fatalf("torn or old: %+v, revision %d after %d", doc.Search, doc.Revision, revision)
		}
		last, revision = res.Body, doc.Revision
		taken += 3
	}
	close(stop)
	<-written
	before, members := there.nodes[0].p.ShardMaps(), fmt.Sprint(there.nodes[0].p.Store().Members())
	if res := call(there.nodes[0], "PUT", "/store/document", last); res.Status != 200 {
		t.Fatalf("%d %s", res.Status, res.Body)
	}
	doc, err := adminapi.ReadBackup(last)
	if err != nil {
		t.Fatal(err)
	}
	now := there.nodes[0].p.Store().Settings()
	if now.Search.MaxResultWindow != doc.Search.MaxResultWindow || revision < 2 {
		t.Errorf("%+v, backup %+v of revision %d", now.Search, doc.Search, revision)
	}
	if after := there.nodes[0].p.ShardMaps(); !reflect.DeepEqual(before, after) || fmt.Sprint(there.nodes[0].p.Store().Members()) != members {
		t.Error("the restore moved slices or members")
	}
	if status, body, err := there.ask(there.nodes[0], "POST", "/players/_search", `{"size":1}`); err != nil || !strings.Contains(string(body), `"failed":0`) {
		t.Errorf("%d %s %v", status, body, err)
	}
}

// cluster starts coordinators on a fleet of their own.
func cluster(t *testing.T, seed uint64, nodes int) *world {
	w, err := newWorld(shape{name: "cluster", seed: seed, servers: 4, nodes: nodes, slices: 2, records: 50, each: 2, maxOpen: 100, memoryMB: 64,
		reshape: "poll = \"200ms\"", work: emulator.Capacity{Cores: 2, WorkPerPart: time.Millisecond, Queue: 64, CopyRate: 200}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.close)
	return w
}

// holds waits until instances believe a server to be in a state, and nothing is left to settle if that is asked for.
func holds(t *testing.T, nodes []*node, server, state string, settled bool) {
	t.Helper()
	for _, n := range nodes {
		for {
			list, err := n.p.Servers()
			a, err2 := n.p.ReplicatedState()
			at := slices.IndexFunc(list, func(s adminapi.Server) bool { return s.Name == server })
			if err == nil && err2 == nil && (at < 0 && state == "gone" || at >= 0 && list[at].State == state) && (!settled || len(a.Pending) == 0) {
				break
			}
			if t.Context().Err() != nil {
				t.Fatal(server, "is not", state)
			}
			time.Sleep(2 * time.Millisecond)
		}
	}
}

// A drain ordered at any instance holds there at once and everywhere soon, and is settled; one that would leave slices bare
// is refused; an undrain holds once a majority has it; a removed server stays away. Without a majority a drain still holds
// where it is heard, and an undrain is refused.
func TestDrainsWithAndWithoutAMajority(t *testing.T) {
	eventlog.SetOutput(io.Discard, false)
	t.Cleanup(func() { eventlog.SetOutput(os.Stderr, false) })
	t.Setenv("TMPDIR", t.TempDir())
	w := cluster(t, 13, 3)
	order := func(n *node, verb, server string, force bool) error {
		_, err := n.p.ChangeServer(context.Background(), adminapi.ServerRequest{Server: server, Action: verb, Force: force})
		return err
	}
	byLeader := func(verb, server string) {
		t.Helper()
		for i := 0; ; i++ {
			var other *store.NotLeaderError
			if err := order(w.nodes[i%3], verb, server, false); err == nil {
				return
			} else if !errors.As(err, &other) && !errors.Is(err, store.ErrNoLeader) || t.Context().Err() != nil {
				t.Fatal(err)
			}
			time.Sleep(2 * time.Millisecond)
		}
	}
	byLeader("weight", "s-03") // the settings are agreed from here on
	for i, n := range w.nodes {
		if err := order(n, "drain", "s-01", false); err != nil {
			t.Fatal(i, err)
		}
		holds(t, w.nodes[i:i+1], "s-01", "draining", false)
		holds(t, w.nodes, "s-01", "draining", true)
		byLeader("undrain", "s-01")
		holds(t, w.nodes, "s-01", "in_service", true)
	}
	stranger := `[{"id":{"origin":{"instance":"nobody","boot":1},"seq":1},"server":"s-04","kind":"draining","force":true}]`
	if status, body, err := w.ask(w.nodes[0], "POST", "/_linkpass/orders?from=n1", stranger); err != nil || status != 200 {
		t.Errorf("%d %s %v", status, body, err)
	}
	if n := w.nodes[0].p.Counters().Get("restrictions_malformed"); n != 1 {
		t.Errorf("%d orders of no member were counted", n)
	}
	holds(t, w.nodes, "s-04", "in_service", true) // an instance that never was orders nothing
	if err := order(w.nodes[0], "drain", "s-01", false); err != nil {
		t.Fatal(err)
	}
	holds(t, w.nodes, "s-01", "draining", true)
	var refused *endpoints.RejectedError
	if err := order(w.nodes[1], "drain", "s-02", false); !errors.As(err, &refused) || refused.Reason != config.NoReplicaLeft {
		t.Errorf("the last holder was drained: %v", err)
	}
	if err := order(w.nodes[1], "remove", "s-02", true); err != nil {
		t.Fatal(err)
	}
	holds(t, w.nodes, "s-02", "gone", true)
	if err := order(w.nodes[2], "drain", "s-02", true); !errors.As(err, &refused) || refused.Reason != config.ServerIDRetired {
		t.Errorf("what was removed was drained: %v", err)
	}
	hashes := map[string]bool{}
	for _, n := range w.nodes {
		a, err := n.p.ReplicatedState()
		if err != nil {
			t.Fatal(err)
		}
		hashes[fmt.Sprint(a.Version, a.Hash)] = true
	}
	if len(hashes) > 1 {
		t.Errorf("states differ: %v", hashes)
	}
	for _, n := range w.nodes[1:] {
		n.stop()
		<-n.done
		n.done <- nil // for the world's own end
	}
	if err := order(w.nodes[0], "drain", "s-03", false); err != nil {
		t.Fatal(err)
	}
	holds(t, w.nodes[:1], "s-03", "draining", false)
	if err := order(w.nodes[0], "undrain", "s-03", false); err == nil {
		t.Error("an undrain held without a majority")
	}
	if a, err := w.nodes[0].p.ReplicatedState(); err != nil || len(a.Pending) != 1 {
		t.Errorf("%+v %v", a.Pending, err)
	}
	holds(t, w.nodes[:1], "s-03", "draining", false)
}

// Instances report their disks to each other over the search front: one that comes with an earlier start is turned away
// with 409, what is no report with 400.
func TestDisksAreReported(t *testing.T) {
	eventlog.SetOutput(io.Discard, false)
	t.Cleanup(func() { eventlog.SetOutput(os.Stderr, false) })
	t.Setenv("TMPDIR", t.TempDir())
	w := cluster(t, 17, 3)
	ask := func(body string) int {
		t.Helper()
		status, _, err := w.ask(w.nodes[0], "POST", "/_linkpass/marks", body)
		if err != nil {
			t.Fatal(err)
		}
		return status
	}
	for ask(`{"id":"n1","boot":0}`) != 409 { // until n1's own report has come
		if t.Context().Err() != nil {
			t.Fatal("no report of n1 came")
		}
		time.Sleep(20 * time.Millisecond)
	}
	if status := ask(`{"id":"nobody","boot":7}`); status != 200 {
		t.Errorf("a stranger: %d", status)
	}
	for _, bad := range []string{``, `{}`, `[1]`, `{"id":"n1","boot":-1}`} {
		if status := ask(bad); status != 400 {
			t.Errorf("%s: %d", bad, status)
		}
	}
	c := w.nodes[0].p.Counters()
	if bad, refused := c.Get("position_reports_malformed"), c.Get("position_reports_rejected"); bad != 4 || refused < 1 {
		t.Errorf("%d bad, %d refused", bad, refused)
	}
}

// A short run of the experiment on drains keeps every rule; how fast it was is not looked at, but for the second that is
// the rule.
func TestDrainsKeepTheRules(t *testing.T) {
	eventlog.SetOutput(io.Discard, false)
	t.Cleanup(func() { eventlog.SetOutput(os.Stderr, false) })
	t.Setenv("TMPDIR", t.TempDir())
	if ok, err := RunDrains(DrainsConfig{Seeds: []uint64{3}, Orders: 4, Rate: 20, Out: t.TempDir()}); err != nil || !ok {
		t.Fatalf("rules kept: %v, %v", ok, err)
	}
}
