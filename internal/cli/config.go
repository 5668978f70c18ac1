package cli

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"

	"linkpass/internal/adminapi"
	"linkpass/internal/adminapi/signature"
)

// configCommands are the commands that show and reload settings, and create keys.
type configCommands struct {
	Show   configShow   `cmd:"" help:"Show the settings in effect and the source of each."`
	Reload configReload `cmd:"" help:"Reload the files; show which changed keys take effect now and which need a restart."`
	NewKey configNewKey `cmd:"" help:"Generate a key, and print it as a line for the file that operator.keys names."`
}

// keyBytes is the length of a new key, in bytes.
const keyBytes = 32

type configReload struct{}

// Run makes the coordinator reload its files and shows when each changed key takes effect.
func (configReload) Run(e *env) error {
	var result adminapi.ReloadResult
	if err := e.client.Call("PUT", "/config/reload", nil, &result); err != nil {
		return err
	}
	return e.show(result, func(w io.Writer) {
		fmt.Fprintln(w, "KEY\tTAKES HOLD")
		printKeys := func(when string, keys []string) {
			for _, k := range keys {
				fmt.Fprintf(w, "%s\t%s\n", k, when)
			}
		}
		printKeys("now", result.Applied)
		printKeys("with the next start", result.NeedsRestart)
		printKeys("never: the store says", result.Replicated)
	})
}

type configNewKey struct {
	ID string `arg:"" help:"Id of the new key."`
}

// Run prints a random key. It writes the key to standard output alone and creates no file, because other users might be
// able to read that file.
func (c configNewKey) Run(e *env) error {
	key := make([]byte, keyBytes)
	if _, err := rand.Read(key); err != nil {
		return fmt.Errorf("generate key: %w", err)
	}
	if err := (signature.KeyRing{c.ID: key}).Validate(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(e.out, "%q = %q\n", c.ID, hex.EncodeToString(key))
	return err
}

type configShow struct {
	Effective bool `help:"Include settings that neither a file nor the environment sets." default:"true" negatable:""`
}

// Run shows the settings of the running coordinator.
func (c configShow) Run(e *env) error {
	var all, shown []adminapi.Setting
	if err := e.client.Call("GET", "/config", nil, &all); err != nil {
		return err
	}
	for _, s := range all {
		if c.Effective || s.Source != "default" {
			shown = append(shown, s)
		}
	}
	return e.show(shown, func(w io.Writer) {
		fmt.Fprintln(w, "KEY\tVALUE\tFROM")
		for _, s := range shown {
			fmt.Fprintf(w, "%s\t%s\t%s\n", s.Key, s.Value, s.Source)
		}
	})
}
