// Package launch finds and executes the program that a command line is for. The daemon has no command line of its own,
// which would cost it 3 MB of resident memory: reflection on the names of methods keeps all methods in a binary.
package launch

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"

	"linkpass/internal/daemon"
)

// misused is the exit code when a command line's program could not be executed.
const misused = 2

// Main runs the daemon, or replaces this process with linkpass-ctl for any other command line. It returns the exit code.
func Main(args []string) int {
	if file, ok := daemon.Arguments(args); ok {
		return daemon.Main(file)
	}
	fmt.Fprintln(os.Stderr, "linkpass:", Exec("linkpass-ctl", args))
	return misused
}

// Exec replaces this process with the named program, which is in this program's directory or else on the PATH; args
// follow its name. It returns only if it failed, with an error that names the program.
func Exec(name string, args []string) error {
	path, err := find(name)
	if err != nil {
		return err
	}
	return fmt.Errorf("%s: %w", path, syscall.Exec(path, append([]string{name}, args...), os.Environ()))
}

// find returns the path of a program: first in this program's directory, then on the PATH.
func find(name string) (string, error) {
	self, err := os.Executable()
	if err != nil {
		return "", fmt.Errorf("where this program lies: %w", err)
	}
	sibling := filepath.Join(filepath.Dir(self), name)
	if info, err := os.Stat(sibling); err == nil && info.Mode().IsRegular() {
		return sibling, nil
	}
	path, err := exec.LookPath(name)
	if err != nil && !errors.Is(err, exec.ErrDot) {
		return "", fmt.Errorf("%s is neither beside %s nor on the path", name, self)
	}
	return path, err
}
