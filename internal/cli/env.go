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
)

// waitInterval is the pause between two checks of a condition that a command waits for.
const waitInterval = 200 * time.Millisecond

// output is the writer of a command's results. closed is true once a write has failed because the reader closed the
// pipe. An EPIPE error that a command returns does not show that: a connection to a coordinator can fail with EPIPE
// too.
type output struct {
	io.Writer
	closed bool
}

func (o *output) Write(p []byte) (int, error) {
	n, err := o.Writer.Write(p)
	o.closed = o.closed || errors.Is(err, syscall.EPIPE)
	return n, err
}

// env is the environment of a command: its output, the parsed flags and a client of the coordinator.
type env struct {
	out    *output
	err    io.Writer
	flags  *commands
	client *adminapi.Client
	app    *kong.Kong
}

// newClient returns a client of the coordinator that the command line names.
func (c *commands) newClient() (*adminapi.Client, error) {
	client := &adminapi.Client{Socket: c.Socket, Address: c.Address, Timeout: c.Timeout}
	if c.Address == "" {
		return client, nil
	}
	keys, err := daemon.ReadKeyRing(c.KeyFile)
	if err != nil {
		return nil, fmt.Errorf("--key-file: %w", err)
	}
	if len(keys) == 1 && c.Key == "" {
		for c.Key = range keys {
		}
	}
	client.KeyID, client.Key = c.Key, keys[c.Key]
	if client.Key == nil {
		return nil, fmt.Errorf("--key %q: no such key in %s, which has %d", c.Key, c.KeyFile, len(keys))
	}
	return client, nil
}

// show prints value as JSON, or as a table, depending on --output. rows writes the table: one line for each row, with
// tabs between the cells.
func (e *env) show(value any, rows func(w io.Writer)) error {
	if e.flags.Output == "json" {
		return e.showJSON(value)
	}
	w := tabwriter.NewWriter(e.out, 0, 4, 2, ' ', 0)
	rows(w)
	return w.Flush()
}

func (e *env) showJSON(value any) error {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return fmt.Errorf("encode output: %w", err)
	}
	_, err = fmt.Fprintf(e.out, "%s\n", data)
	return err
}

// wait polls a condition until it holds, until it returns an error or until --timeout has passed. After a timeout it
// returns errTimedOut, wrapped with the text unmet, which says what has not been reached.
func (e *env) wait(unmet string, condition func() (bool, error)) error {
	for deadline := time.Now().Add(e.flags.Timeout); ; {
		ok, err := condition()
		if ok || err != nil {
			return err
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%w after %s: %s", errTimedOut, e.flags.Timeout, unmet)
		}
		time.Sleep(waitInterval)
	}
}
