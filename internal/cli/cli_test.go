package cli

import (
	"bytes"
	"io"
	"linkpass/internal/event"
	"net"
	"os"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"linkpass/internal/lab"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"linkpass": func() { os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr)) }})
}

// Every command, with its exit codes and its output, against a coordinator on a stand-in fleet.
func TestCommands(t *testing.T) {
	event.SetOutput(io.Discard, false)
	t.Cleanup(func() { event.SetOutput(os.Stderr, false) })
	t.Setenv("TMPDIR", t.TempDir())
	testscript.Run(t, testscript.Params{Dir: "testdata", Setup: func(e *testscript.Env) error {
		d, err := lab.StartDemo(1) // one for each script: they change it
		if err != nil {
			return err
		}
		e.Defer(d.Close)
		e.Setenv("LINKPASS_SOCKET", d.Socket)
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

// Slow callers that hold every place of the API's socket keep no operator out.
func TestStatusBesideSlowCallers(t *testing.T) {
	event.SetOutput(io.Discard, false)
	t.Cleanup(func() { event.SetOutput(os.Stderr, false) })
	t.Setenv("TMPDIR", t.TempDir())
	d, err := lab.StartDemo(2)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	for range 20 {
		nc, err := net.Dial("unix", d.Socket)
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		if _, err := io.WriteString(nc, "GET /v1/sta"); err != nil {
			t.Fatal(err)
		}
	}
	var out, errOut bytes.Buffer
	if code := Main([]string{"--socket", d.Socket, "status"}, &out, &errOut); code != Done || !strings.Contains(out.String(), "serving") {
		t.Errorf("exit code %d: %s%s", code, out.String(), errOut.String())
	}
}

// No line of a view is wider than its terminal.
func TestLinesAreCutToTheTerminal(t *testing.T) {
	for _, l := range strings.Split(cut("short\n"+strings.Repeat("wide ä ", 30)+"\n", 60), "\n") {
		if n := len([]rune(l)); n > 60 {
			t.Errorf("%d columns: %s", n, l)
		}
	}
	if text := strings.Repeat("x", 100); cut(text, 0) != text {
		t.Error("cut where there is no terminal")
	}
}

// The exit codes are those of docs/cli.md.
func TestExitCodes(t *testing.T) {
	nobody := t.TempDir() + "/none"
	for want, args := range map[int][]string{Done: {"version"}, Misused: {"frobnicate"}, Nobody: {"--socket", nobody, "status"},
		Refused: {"check", "--file-only", "--opensearch", nobody}} {
		if got := Main(args, io.Discard, io.Discard); got != want {
			t.Errorf("%v: exit code %d, want %d", args, got, want)
		}
	}
	e := &env{err: io.Discard, cli: &commands{}}
	if got := e.code(e.wait("it", func() (bool, error) { return false, nil })); got != TimedOut {
		t.Errorf("a wait in vain: exit code %d", got)
	}
}
