package cli

import (
	"bytes"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"linkpass/internal/eventlog"
	"linkpass/internal/experiment"
	"linkpass/internal/launch"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"linkpass": func() { os.Exit(launch.Main(os.Args[1:])) },
		"linkpass-ctl": func() { os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr)) }, "curl": func() { os.Exit(curl(os.Args[1:])) }})
}

// Runs the scripts in testdata, and scripts of all commands that the pages show, against a coordinator on an emulated
// fleet.
func TestCommandsOfScriptsAndPages(t *testing.T) {
	eventlog.SetOutput(io.Discard, false)
	t.Cleanup(func() { eventlog.SetOutput(os.Stderr, false) })
	t.Setenv("TMPDIR", t.TempDir())
	files, err := filepath.Glob(filepath.Join("testdata", "*.txtar"))
	if err != nil || len(files) == 0 {
		t.Fatalf("scripts in testdata: %v, error %v; want at least one script", files, err)
	}
	testscript.Run(t, testscript.Params{Files: append(files, writePageScripts(t)...), Setup: func(e *testscript.Env) error {
		d, err := experiment.StartDemo(1) // one for each script, because the scripts change its state
		if err != nil {
			return err
		}
		e.Defer(d.Close)
		e.Setenv("LINKPASS_SOCKET", d.Socket)
		e.Setenv("TCP", d.AdminAPIAddr)
		e.Setenv("KEYS", d.KeyFile)
		e.Setenv("FILE", d.SearchFile)
		e.Setenv("CONFIG", d.PlatformFile)
		e.Setenv("SEARCH", d.Search)
		e.Setenv("ADMIN", d.AdminListener)
		e.Setenv("SET", strings.Join(d.ReplicaSets()[0], "+"))
		e.Setenv("DEAD_SOCKET", e.WorkDir+"/nobody.sock")
		return listenUnresponsive(e)
	}})
}

// listenUnresponsive listens on a Unix socket that accepts connections and answers no call. The script finds the
// socket's path in DEAF_SOCKET.
func listenUnresponsive(e *testscript.Env) error {
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

// startDemo starts a coordinator on an emulated fleet until the test ends, and discards log lines meanwhile.
func startDemo(t *testing.T, seed uint64) *experiment.Demo {
	t.Helper()
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

// This is not a script, because the log levels are global to the process.
func TestLogLevelsChangeUntilReload(t *testing.T) {
	d := startDemo(t, 6)
	run := func(want int, args ...string) string {
		t.Helper()
		var out, errOut bytes.Buffer
		if code := Main(append([]string{"--socket", d.Socket}, args...), &out, &errOut); code != want {
			t.Errorf("%v: exit code = %d, want %d; stderr: %s", args, code, want, errOut.String())
		}
		return out.String() + errOut.String()
	}
	if out := run(ExitDone, "log", "peer", "error"); !strings.Contains(out, "peer       error") {
		t.Errorf("output of log peer error = %q, want level error for peer", out)
	}
	if out := run(ExitDone, "log", "-o", "json"); !strings.Contains(out, `"peer": "error"`) {
		t.Errorf("output of log -o json = %q, want level error for peer", out)
	}
	run(ExitFailed, "log", "peer", "loud")
	run(ExitFailed, "log", "nobody", "warn")
	run(ExitFailed, "log", "peer")
	run(ExitDone, "config", "reload")
	if out := run(ExitDone, "log"); !strings.Contains(out, "peer       info") || !strings.Contains(out, "raft       warn") {
		t.Errorf("output of log after a reload = %q, want info for peer and warn for raft", out)
	}
}

// Guards against an error message and a failure when the reader of the output, such as head, closes the pipe early.
func TestMainSucceedsWhenOutputPipeIsClosed(t *testing.T) {
	d := startDemo(t, 5)
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	r.Close()
	defer w.Close()
	var errOut bytes.Buffer
	if code := Main([]string{"--socket", d.Socket, "-o", "json", "status"}, w, &errOut); code != ExitDone || errOut.Len() > 0 {
		t.Errorf("exit code = %d, stderr = %q; want %d and no output to stderr", code, errOut.String(), ExitDone)
	}
}

// Guards against slow callers that use up all connections of the API's socket, so that a further call gets none.
func TestStatusWithSlowCallersOnAllConnections(t *testing.T) {
	d := startDemo(t, 2)
	for range 20 {
		nc, err := net.Dial("unix", d.Socket)
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		_, _ = io.WriteString(nc, "GET /v1/sta") // fails if the connection was closed in favor of a later one
	}
	var out, errOut bytes.Buffer
	if code := Main([]string{"--socket", d.Socket, "status"}, &out, &errOut); code != ExitDone || !strings.Contains(out.String(), "serving") {
		t.Errorf("exit code = %d, want %d; output %q, want it to contain serving; stderr: %s", code, ExitDone, out.String(), errOut.String())
	}
}

func TestTruncateLines(t *testing.T) {
	for _, l := range strings.Split(truncateLines("short\n"+strings.Repeat("wide ä ", 30)+"\n", 60), "\n") {
		if n := len([]rune(l)); n > 60 {
			t.Errorf("line of %d columns, want 60 at most: %s", n, l)
		}
	}
	if text := strings.Repeat("x", 100); truncateLines(text, 0) != text {
		t.Error("text is truncated at width 0, want it unchanged")
	}
}

// docs/cli.md lists these exit codes.
func TestMainExitCodes(t *testing.T) {
	missing := t.TempDir() + "/none"
	for _, c := range []struct {
		name string
		args []string
		want int
	}{
		{"version", []string{"--version"}, ExitDone},
		{"unknown command", []string{"frobnicate"}, ExitUsage},
		{"no coordinator", []string{"--socket", missing, "status"}, ExitUnreachable},
		{"missing file", []string{"check", "--file-only", "--opensearch", missing}, ExitFailed},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := Main(c.args, io.Discard, io.Discard); got != c.want {
				t.Errorf("%v: exit code = %d, want %d", c.args, got, c.want)
			}
		})
	}
}

func TestWaitTimeoutExitCode(t *testing.T) {
	e := &env{out: &output{Writer: io.Discard}, err: io.Discard, flags: &commands{}}
	if got := e.finish(e.wait("it", func() (bool, error) { return false, nil })); got != ExitTimedOut {
		t.Errorf("exit code = %d, want %d", got, ExitTimedOut)
	}
}
