package bodystore

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
)

const processDirPrefix = "linkpass-bodies-"

// createProcessDir makes a folder of this process's own under dir and removes what processes that are no
// more have left there. A process holds the lock of its folder for as long as it lives, so that two
// of them during a change of version do not touch each other's.
func createProcessDir(dir string) (own string, lock *os.File, err error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return "", nil, fmt.Errorf("bodies: %w", err)
	}
	entries, err := os.ReadDir(dir)
	if err != nil {
		return "", nil, fmt.Errorf("bodies: %w", err)
	}
	for _, e := range entries {
		if e.IsDir() && strings.HasPrefix(e.Name(), processDirPrefix) {
			removeStaleDir(filepath.Join(dir, e.Name()))
		}
	}
	if own, err = os.MkdirTemp(dir, processDirPrefix); err != nil {
		return "", nil, fmt.Errorf("bodies: %w", err)
	}
	if lock, err = lockDir(own); err != nil {
		_ = os.RemoveAll(own)
		return "", nil, fmt.Errorf("bodies: %w", err)
	}
	return own, lock, nil
}

func lockDir(own string) (*os.File, error) {
	f, err := os.OpenFile(filepath.Join(own, "lock"), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		return nil, err
	}
	return f, nil
}

// removeStaleDir removes a folder whose process is no more.
func removeStaleDir(own string) {
	if _, err := os.Stat(filepath.Join(own, "lock")); err != nil {
		return // another process is just making it; the next start will see
	}
	f, err := lockDir(own)
	if err != nil {
		return
	}
	_ = os.RemoveAll(own)
	_ = f.Close()
}
