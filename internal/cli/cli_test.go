package cli

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/textproto"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"linkpass/internal/adminapi"
	"linkpass/internal/adminapi/signature"
	"linkpass/internal/daemon"
	"linkpass/internal/eventlog"
	"linkpass/internal/experiment"
	"linkpass/internal/http1"
	"linkpass/internal/launch"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"linkpass": func() { os.Exit(launch.Main(os.Args[1:])) },
		"linkpass-ctl": func() { os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr)) }, "curl": func() { os.Exit(curl(os.Args[1:])) }})
}

// Every command, with its exit codes and its output, and every command that the pages show, against a coordinator on a
// stand-in fleet.
func TestCommands(t *testing.T) {
	eventlog.SetOutput(io.Discard, false)
	t.Cleanup(func() { eventlog.SetOutput(os.Stderr, false) })
	t.Setenv("TMPDIR", t.TempDir())
	files, err := filepath.Glob(filepath.Join("testdata", "*.txtar"))
	if err != nil || len(files) == 0 {
		t.Fatal(files, err)
	}
	testscript.Run(t, testscript.Params{Files: append(files, documented(t)...), Setup: func(e *testscript.Env) error {
		d, err := experiment.StartDemo(1) // one for each script: they change it
		if err != nil {
			return err
		}
		e.Defer(d.Close)
		e.Setenv("LINKPASS_SOCKET", d.Socket)
		e.Setenv("TCP", d.Operator)
		e.Setenv("KEYS", d.KeyFile)
		e.Setenv("FILE", d.File)
		e.Setenv("CONFIG", d.Config)
		e.Setenv("SEARCH", d.Search)
		e.Setenv("DOOR", d.AdminListener)
		e.Setenv("SET", strings.Join(d.ReplicaSets()[0], "+"))
		e.Setenv("DEAD_SOCKET", e.WorkDir+"/nobody.sock")
		return deaf(e)
	}})
}

// deaf makes a socket whose owner hangs: it takes calls and answers none.
func deaf(e *testscript.Env) error {
	dir, err := os.MkdirTemp("", "deaf")
	if err != nil {
		return err
	}
	ln, err := net.Listen("unix", dir+"/s")
	if err != nil {
		return err
	}
	e.Defer(func() { ln.Close(); os.RemoveAll(dir) })
	e.Setenv("DEAF_SOCKET", dir+"/s")
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			defer nc.Close()
		}
	}()
	return nil
}

// demo starts a coordinator on a stand-in fleet.
func demo(t *testing.T, seed uint64) *experiment.Demo {
	eventlog.SetOutput(io.Discard, false)
	t.Cleanup(func() { eventlog.SetOutput(os.Stderr, false) })
	t.Setenv("TMPDIR", t.TempDir())
	d, err := experiment.StartDemo(seed)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return d
}

// Operators who drain and activate at the same time, at the socket and over TCP, are all answered with what holds then; the
// last word holds, whoever it is from.
func TestOperatorsAtOnce(t *testing.T) {
	d := demo(t, 3)
	ring, err := daemon.ReadKeys(d.KeyFile)
	if err != nil {
		t.Fatal(err)
	}
	clients := []*adminapi.Client{{Socket: d.Socket, Timeout: 5 * time.Second}, {Address: d.Operator, KeyID: "demo", Key: ring["demo"], Timeout: 5 * time.Second}}
	var wg sync.WaitGroup
	for i, c := range clients {
		wg.Go(func() {
			for n := range 20 {
				path, want := "/drain", "drained"
				if (n+i)%2 == 0 {
					path, want = "/activate", "serving"
				}
				var now map[string]string
				if err := c.Call("PUT", path, nil, &now); err != nil || now["state"] != want {
					t.Errorf("%s: %v %v", path, now, err)
				}
			}
		})
	}
	wg.Wait()
	for _, path := range []string{"/drain", "/activate"} {
		if err := clients[1].Call("PUT", path, nil, nil); err != nil {
			t.Fatal(err)
		}
	}
	var s adminapi.Status
	if err := clients[0].Call("GET", "/status", nil, &s); err != nil || s.State != "serving" {
		t.Errorf("%v %v", s.State, err)
	}
}

// A clock that is off by a minute is told so, and a call that was heard on its way is of no use a second time.
func TestClocksAndReplaysOverTCP(t *testing.T) {
	d := demo(t, 4)
	ring, err := daemon.ReadKeys(d.KeyFile)
	if err != nil {
		t.Fatal(err)
	}
	c := &adminapi.Client{Address: d.Operator, KeyID: "demo", Key: ring["demo"], Timeout: 5 * time.Second}
	for _, off := range []time.Duration{time.Minute, -time.Minute} {
		c.Now = func() time.Time { return time.Now().Add(off) }
		var no *adminapi.ResponseError
		if err := c.Call("PUT", "/drain", nil, nil); !errors.As(err, &no) || no.Status != 401 || !strings.Contains(no.Reason, "set the clocks") {
			t.Errorf("off by %s: %v", off, err)
		}
	}
	signed := signature.Sign("demo", ring["demo"], signature.Call{Method: "PUT", Target: "/v1/drain"}, time.Now(), "once")
	for i, want := range []int{200, 401} {
		nc, err := net.Dial("tcp", d.Operator)
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		_ = http1.WriteRequest(nc, "PUT", "/v1/drain", "x", textproto.MIMEHeader{"Authorization": {signed}}, nil)
		if res, err := http1.NewReader(nc, 0).Response(); err != nil || res.Status != want {
			t.Errorf("call %d: %+v %v", i, res, err)
		}
	}
}

// Levels change by part, at once; a reload brings back what the file says. (The log is the process's, so this is no script.)
func TestLevelsInService(t *testing.T) {
	d := demo(t, 6)
	run := func(want int, args ...string) string {
		t.Helper()
		var out, errOut bytes.Buffer
		if code := Main(append([]string{"--socket", d.Socket}, args...), &out, &errOut); code != want {
			t.Errorf("%v: exit code %d: %s", args, code, errOut.String())
		}
		return out.String() + errOut.String()
	}
	if out := run(ExitDone, "log", "peer", "error"); !strings.Contains(out, "peer       error") {
		t.Error(out)
	}
	if out := run(ExitDone, "log", "-o", "json"); !strings.Contains(out, `"peer": "error"`) {
		t.Error(out)
	}
	run(ExitFailed, "log", "peer", "loud")
	run(ExitFailed, "log", "nobody", "warn")
	run(ExitFailed, "log", "peer")
	run(ExitDone, "config", "reload")
	if out := run(ExitDone, "log"); !strings.Contains(out, "peer       info") || !strings.Contains(out, "raft       warn") {
		t.Error(out)
	}
}

// A reader that has read enough ends a command quietly.
func TestAPipeThatCloses(t *testing.T) {
	d := demo(t, 5)
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	r.Close()
	defer w.Close()
	var errOut bytes.Buffer
	if code := Main([]string{"--socket", d.Socket, "-o", "json", "status"}, w, &errOut); code != ExitDone || errOut.Len() > 0 {
		t.Errorf("exit code %d, %s", code, errOut.String())
	}
}

// Slow callers that hold every place of the API's socket keep no operator out.
func TestStatusBesideSlowCallers(t *testing.T) {
	d := demo(t, 2)
	for range 20 {
		nc, err := net.Dial("unix", d.Socket)
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		_, _ = io.WriteString(nc, "GET /v1/sta") // those that had to make room already can't
	}
	var out, errOut bytes.Buffer
	if code := Main([]string{"--socket", d.Socket, "status"}, &out, &errOut); code != ExitDone || !strings.Contains(out.String(), "serving") {
		t.Errorf("exit code %d: %s%s", code, out.String(), errOut.String())
	}
}

// No line of a view is wider than its terminal.
func TestLinesAreCutToTheTerminal(t *testing.T) {
	for _, l := range strings.Split(truncateLines("short\n"+strings.Repeat("wide ä ", 30)+"\n", 60), "\n") {
		if n := len([]rune(l)); n > 60 {
			t.Errorf("%d columns: %s", n, l)
		}
	}
	if text := strings.Repeat("x", 100); truncateLines(text, 0) != text {
		t.Error("cut where there is no terminal")
	}
}

// The exit codes are those of docs/cli.md.
func TestExitCodes(t *testing.T) {
	nobody := t.TempDir() + "/none"
	for want, args := range map[int][]string{ExitDone: {"--version"}, ExitMisused: {"frobnicate"}, ExitUnreachable: {"--socket", nobody, "status"},
		ExitFailed: {"check", "--file-only", "--opensearch", nobody}} {
		if got := Main(args, io.Discard, io.Discard); got != want {
			t.Errorf("%v: exit code %d, want %d", args, got, want)
		}
	}
	e := &env{out: &output{Writer: io.Discard}, err: io.Discard, flags: &commands{}}
	if got := e.fail(e.wait("it", func() (bool, error) { return false, nil })); got != ExitTimedOut {
		t.Errorf("a wait in vain: exit code %d", got)
	}
}
