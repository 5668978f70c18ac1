package cli

import (
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/alecthomas/kong"

	"linkpass/internal/daemon"
)

// commands is the grammar of the command line: the flags that all commands share, and the commands.
type commands struct {
	Socket  string        `help:"Unix socket of the operators' API." env:"LINKPASS_SOCKET" default:"/run/linkpass/linkpass.sock"`
	Address string        `help:"Address of the operators' API over TCP, used in place of the socket; calls over TCP need a key." env:"LINKPASS_ADDRESS"`
	KeyFile string        `help:"File with the keys for signing calls over TCP." env:"LINKPASS_KEY_FILE"`
	Key     string        `help:"Id of the key in that file; may be left out if the file has only one key." env:"LINKPASS_KEY"`
	Output  string        `short:"o" enum:"table,json" default:"table" help:"Format of the output: table or json."`
	Timeout time.Duration `help:"Limit on the duration of one call, and of a wait with --wait." default:"5s"`

	Numbered kong.VersionFlag `name:"version" help:"Print the program's version."`

	Serve    serveCommand    `cmd:"" help:"Run the coordinator; the default if no command is given."`
	Check    checkCommand    `cmd:"" help:"Check the files and the environment, and report all errors."`
	Config   configCommands  `cmd:"" help:"Show and reload settings; create keys."`
	Status   statusCommand   `cmd:"" help:"Show the state of the coordinator."`
	Top      topCommand      `cmd:"" help:"Show a live view: responses by class, servers, slices, bodies, store."`
	Servers  serverCommands  `cmd:"" help:"League servers: list, drain, undrain, remove, weight, add."`
	Drain    drainCommand    `cmd:"" help:"Drain the coordinator: its clients are directed to other coordinators."`
	Activate activateCommand `cmd:"" help:"Accept clients again after a drain."`
	Slices   shardCommands   `cmd:"" help:"Slices: show, split, move, merge, abandon, resume, watch."`
	Store    storeCommands   `cmd:"" help:"The replicated store."`
	Bodies   bodiesCommand   `cmd:"" help:"Show how many request bodies are stored for retries, and where."`
	Log      logCommand      `cmd:"" help:"Show the minimum log level of each part of the program, or change one."`
	Page     pageCommand     `cmd:"" help:"Serve a dashboard for a browser: fleet, slices, responses by class, open plans."`
	Demo     demoCommand     `cmd:"" help:"Run an emulated fleet, discovery and a coordinator on this machine, to try commands on."`
	Complete completeCommand `cmd:"" name:"completion" help:"Print a completion script for bash."`
	Version  versionCommand  `cmd:"" help:"Print the versions of the program and of the operators' API."`
}

const description = "The coordinator of a sharded query service, and the commands of its operators. " +
	"Exit codes: 0 done, 1 refused or failed, 2 the command line is wrong, 3 no coordinator answers, 4 timed out. " +
	"Examples: linkpass status -o json; linkpass slices split players 1048576 --into 2 --wait; linkpass drain --wait --timeout 30s"

// helpWidth is the maximum width of a help text, in columns.
const helpWidth = 100

// Main runs one command line, args without the program's name, and returns its exit code: ExitDone or one of the other
// Exit constants. It prints results to out and errors to errOut.
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
		return ExitUsage
	}
	if e.client, err = c.newClient(); err != nil {
		return e.finish(err)
	}
	return e.finish(ctx.Run(e))
}

// exitError is the exit code with which the parser ends the program after it has printed a help text or the version.
type exitError int

func (e exitError) Error() string { return fmt.Sprintf("exit code %d", int(e)) }

// parse parses a command line into e.flags. It returns an exitError if the parser has already printed all output; then
// the caller prints nothing more and exits with that code.
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
