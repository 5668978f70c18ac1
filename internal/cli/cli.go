// Package cli is linkpass's command line: the daemon, and commands for those who look after a
// running one.
package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kong"

	"linkpass/internal/adminapi"
	"linkpass/internal/daemon"
	"linkpass/internal/launch"
)

// Exit codes.
const (
	Done     = 0
	Refused  = 1 // or failed
	Misused  = 2 // the command line
	Nobody   = 3 // no coordinator answers
	TimedOut = 4 // what was waited for did not come
)

// errTimedOut says that what a command waited for did not come.
var errTimedOut = errors.New("timed out")

// commands is the whole command line.
type commands struct {
	Socket  string        `help:"Socket of the operators' API." env:"LINKPASS_SOCKET" default:"/run/linkpass/linkpass.sock"`
	Address string        `help:"Address of the operators' API over TCP, in place of the socket; needs a key." env:"LINKPASS_ADDRESS"`
	KeyFile string        `help:"File with the keys that sign calls over TCP." env:"LINKPASS_KEY_FILE"`
	Key     string        `help:"Id of the key in that file; not needed if there is one." env:"LINKPASS_KEY"`
	Output  string        `short:"o" enum:"table,json" default:"table" help:"table or json."`
	Timeout time.Duration `help:"For one call, or for what --wait waits for." default:"5s"`

	Numbered kong.VersionFlag `name:"version" help:"Print the program's version."`

	Serve    serveCommand    `cmd:"" help:"Run the coordinator; also without a command."`
	Check    checkCommand    `cmd:"" help:"Check the files and the environment; tell all that is wrong."`
	Config   configCommands  `cmd:"" help:"Settings."`
	Status   statusCommand   `cmd:"" help:"How the coordinator stands."`
	Top      topCommand      `cmd:"" help:"A live view: service by class, servers, slices, bodies, store."`
	Servers  serverCommands  `cmd:"" help:"League servers: what is believed of them; drain, undrain, remove, weight, add."`
	Drain    drainCommand    `cmd:"" help:"Empty the coordinator: its clients are led elsewhere."`
	Activate activateCommand `cmd:"" help:"Take clients again."`
	Slices   sliceCommands   `cmd:"" help:"Slices: show, split, move, merge, abandon, resume, watch."`
	Store    storeCommands   `cmd:"" help:"The replicated store."`
	Bodies   bodiesCommand   `cmd:"" help:"Where bodies kept for retries lie."`
	Log      logCommand      `cmd:"" help:"The least levels of log lines by part of the program; change one."`
	Page     pageCommand     `cmd:"" help:"Serve a page for a browser: fleet, slices, service by class, open plans."`
	Demo     demoCommand     `cmd:"" help:"A fleet, discovery and a coordinator on this machine, to try."`
	Complete completeCommand `cmd:"" name:"completion" help:"Print a completion script for bash."`
	Version  versionCommand  `cmd:"" help:"The program's version."`
}

// output notes that whoever reads it has gone. The same error on the way to a coordinator is no reason to be quiet.
type output struct {
	io.Writer
	closed bool
}

func (o *output) Write(p []byte) (int, error) {
	n, err := o.Writer.Write(p)
	o.closed = o.closed || errors.Is(err, syscall.EPIPE)
	return n, err
}

// env is what a command works with.
type env struct {
	out    *output
	err    io.Writer
	cli    *commands
	client *adminapi.Client
	app    *kong.Kong
}

// Main runs one command line and tells the exit code.
func Main(args []string, out, errOut io.Writer) (code int) {
	var c commands
	e := &env{out: &output{Writer: out}, err: errOut, cli: &c}
	exited := -1
	app, err := kong.New(&c, kong.Name("linkpass"), kong.Vars{"search_file": daemon.DefaultSearchFile, "version": "linkpass " + daemon.ProgramVersion()}, kong.Writers(out, errOut), kong.Exit(func(code int) { exited = code }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true, WrapUpperBound: 100}),
		kong.Description("The coordinator of a sharded query service, and what its operators need. "+
			"Exit codes: 0 done, 1 refused or failed, 2 the command line is wrong, 3 no coordinator answers, 4 timed out. "+
			"Examples: linkpass status -o json; linkpass slices split players 1048576 --into 2 --wait; linkpass drain --wait --timeout 30s"))
	if err != nil {
		fmt.Fprintln(errOut, "linkpass:", err)
		return Misused
	}
	e.app = app
	ctx, err := app.Parse(args)
	if exited >= 0 {
		return exited
	}
	if err != nil {
		fmt.Fprintln(errOut, "linkpass:", err)
		return Misused
	}
	if e.client, err = c.client(); err != nil {
		return e.code(err)
	}
	return e.code(ctx.Run(e))
}

// client is who asks the coordinator that the command line names.
func (c *commands) client() (*adminapi.Client, error) {
	client := &adminapi.Client{Socket: c.Socket, Address: c.Address, Timeout: c.Timeout}
	if c.Address == "" {
		return client, nil
	}
	ring, err := daemon.ReadKeys(c.KeyFile)
	if err != nil {
		return nil, fmt.Errorf("--key-file: %w", err)
	}
	if len(ring) == 1 && c.Key == "" {
		for c.Key = range ring {
		}
	}
	client.KeyID, client.Key = c.Key, ring[c.Key]
	if client.Key == nil {
		return nil, fmt.Errorf("--key %q: no such key in %s, which has %d", c.Key, c.KeyFile, len(ring))
	}
	return client, nil
}

// code words an error and finds its exit code.
func (e *env) code(err error) int {
	switch {
	case err == nil, e.out.closed: // whoever read has read enough
		return Done
	case errors.Is(err, adminapi.ErrUnreachable):
		fmt.Fprintln(e.err, "linkpass:", err)
		return Nobody
	case errors.Is(err, errTimedOut):
		fmt.Fprintln(e.err, "linkpass:", err)
		return TimedOut
	}
	fmt.Fprintln(e.err, "linkpass:", err)
	return Refused
}

// show prints an object as JSON, or as rows: a line each, tabs between cells.
func (e *env) show(v any, rows func(w io.Writer)) error {
	if e.cli.Output == "json" {
		data, err := json.MarshalIndent(v, "", "  ")
		if err != nil {
			return fmt.Errorf("output: %w", err)
		}
		_, err = fmt.Fprintf(e.out, "%s\n", data)
		return err
	}
	w := tabwriter.NewWriter(e.out, 0, 4, 2, ' ', 0)
	rows(w)
	return w.Flush()
}

// wait asks until something holds or the time is over.
func (e *env) wait(what string, holds func() (bool, error)) error {
	for end := time.Now().Add(e.cli.Timeout); ; {
		ok, err := holds()
		if ok || err != nil {
			return err
		}
		if time.Now().After(end) {
			return fmt.Errorf("%w after %s: %s", errTimedOut, e.cli.Timeout, what)
		}
		time.Sleep(200 * time.Millisecond)
	}
}

type serveCommand struct {
	OpenSearch string `name:"opensearch" help:"File of the search front and of all that operators set." default:"${search_file}"`
}

// Run becomes the daemon. The plain forms of serve come there without this detour.
func (s *serveCommand) Run(*env) error {
	return launch.Exec("linkpass", []string{"--opensearch", s.OpenSearch})
}

type versionCommand struct{}

// Run prints the version.
func (versionCommand) Run(e *env) error {
	return e.show(map[string]string{"program": daemon.ProgramVersion(), "api": adminapi.Version}, func(w io.Writer) {
		fmt.Fprintf(w, "linkpass %s, operators' API %s\n", daemon.ProgramVersion(), adminapi.Version)
	})
}
