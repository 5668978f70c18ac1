package cli

import (
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/alecthomas/kong"

	"linkpass/internal/daemon"
)

// commands has the flags and the commands of the command line.
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
	Slices   shardCommands   `cmd:"" help:"Slices: show, split, move, merge, abandon, resume, watch."`
	Store    storeCommands   `cmd:"" help:"The replicated store."`
	Bodies   bodiesCommand   `cmd:"" help:"Where bodies kept for retries lie."`
	Log      logCommand      `cmd:"" help:"The least levels of log lines by part of the program; change one."`
	Page     pageCommand     `cmd:"" help:"Serve a page for a browser: fleet, slices, service by class, open plans."`
	Demo     demoCommand     `cmd:"" help:"A fleet, discovery and a coordinator on this machine, to try."`
	Complete completeCommand `cmd:"" name:"completion" help:"Print a completion script for bash."`
	Version  versionCommand  `cmd:"" help:"The program's version."`
}

const description = "The coordinator of a sharded query service, and what its operators need. " +
	"Exit codes: 0 done, 1 refused or failed, 2 the command line is wrong, 3 no coordinator answers, 4 timed out. " +
	"Examples: linkpass status -o json; linkpass slices split players 1048576 --into 2 --wait; linkpass drain --wait --timeout 30s"

// helpWidth is the widest line of a help text, in columns.
const helpWidth = 100

// Main runs one command line and returns its exit code.
func Main(args []string, out, errOut io.Writer) int {
	var c commands
	e := &env{out: &output{Writer: out}, err: errOut, flags: &c}
	ctx, err := e.parse(args)
	var exited exitError
	switch {
	case errors.As(err, &exited):
		return int(exited)
	case err != nil:
		fmt.Fprintln(errOut, "linkpass:", err)
		return ExitMisused
	}
	if e.client, err = c.newClient(); err != nil {
		return e.fail(err)
	}
	return e.fail(ctx.Run(e))
}

// exitError is an exit code that the parser ends with after it printed a help text or the version.
type exitError int

func (e exitError) Error() string { return fmt.Sprintf("exit code %d", int(e)) }

// parse reads a command line into e.flags. An error of type exitError has been handled.
func (e *env) parse(args []string) (*kong.Context, error) {
	const notExited = -1
	exited := notExited
	version := "linkpass " + daemon.ProgramVersion()
	app, err := kong.New(e.flags,
		kong.Name("linkpass"),
		kong.Vars{"search_file": daemon.DefaultSearchFile, "version": version},
		kong.Writers(e.out.Writer, e.err),
		kong.Exit(func(code int) { exited = code }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true, WrapUpperBound: helpWidth}),
		kong.Description(description))
	if err != nil {
		return nil, err
	}
	e.app = app
	ctx, err := app.Parse(args)
	if exited != notExited {
		return nil, exitError(exited)
	}
	return ctx, err
}
