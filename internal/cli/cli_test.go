package cli

import (
	"io"
	"log"
	"net"
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"linkpass/internal/lab"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"linkpass": func() { os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr)) }})
}

// Every command, with its exit codes and its output, against a coordinator on a stand-in fleet.
func TestCommands(t *testing.T) {
	log.SetOutput(io.Discard)
	t.Cleanup(func() { log.SetOutput(os.Stderr) })
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
