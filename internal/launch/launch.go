// Package launch finds and executes the program that handles a command line. The daemon's binary contains no
// command-line parser, which would cost the daemon 3 MB of resident memory: the parser looks up methods by name through
// reflection, and that keeps all methods in the binary.
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

// exitExecFailed is the process exit code when the program that handles the command line could not be executed.
const exitExecFailed = 2

// Main runs the daemon if daemon.ParseArguments accepts args, the command line without the program's name. For any
// other command line it replaces this process with linkpass-ctl, and returns only if that failed. It returns the exit
// code.
func Main(args []string) int {
	if file, ok := daemon.ParseArguments(args); ok {
		return daemon.Main(file)
	}
	fmt.Fprintln(os.Stderr, "linkpass:", Exec("linkpass-ctl", args))
	return exitExecFailed
}

// Exec replaces this process with the named program, which it looks for in this program's directory and then on the
// PATH. args are the program's arguments, without its name. Exec returns only if it failed, with an error that names
// the program.
func Exec(name string, args []string) error {
	path, err := find(name)
	if err != nil {
		return err
	}
	return fmt.Errorf("%s: %w", path, syscall.Exec(path, append([]string{name}, args...), os.Environ()))
}

// find returns the path of a program. It looks in this program's directory first and then on the PATH.
func find(name string) (string, error) {
	self, err := os.Executable()
	if err != nil {
		return "", fmt.Errorf("find the path of this program: %w", err)
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
