// Package launch finds the program that a command line is for. The daemon carries no command line of its own, which
// would cost it 3 MB of resident memory: reflection on the names of methods keeps all methods in a binary.
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

// Main runs the daemon, or hands any other command line on to linkpass-ctl; it tells the exit code.
func Main(args []string) int {
	if file, ok := daemon.Arguments(args); ok {
		return daemon.Main(file)
	}
	fmt.Fprintln(os.Stderr, "linkpass:", Exec("linkpass-ctl", args))
	return 2
}

// Exec becomes the named program, which lies beside this one or else on the path, with arguments after its name. It
// returns only if it could not.
func Exec(name string, args []string) error {
	path, err := find(name)
	if err != nil {
		return err
	}
	return fmt.Errorf("%s: %w", path, syscall.Exec(path, append([]string{name}, args...), os.Environ()))
}

func find(name string) (string, error) {
	self, err := os.Executable()
	if err != nil {
		return "", fmt.Errorf("where this program lies: %w", err)
	}
	beside := filepath.Join(filepath.Dir(self), name)
	if info, err := os.Stat(beside); err == nil && info.Mode().IsRegular() {
		return beside, nil
	}
	path, err := exec.LookPath(name)
	if err != nil && !errors.Is(err, exec.ErrDot) {
		return "", fmt.Errorf("%s is neither beside %s nor on the path", name, self)
	}
	return path, err
}
