package bodystore

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
)

const (
	processDirPrefix = "linkpass-bodies-"
	lockFile         = "lock"
)

// createProcessDir creates a directory for this process in dir and removes the directories of processes that
// have ended. A process keeps its directory locked until it ends, so that during an upgrade the old and the new
// process don't remove each other's directory.
func createProcessDir(dir string) (processDir string, lock *os.File, err error) {
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
	if processDir, err = os.MkdirTemp(dir, processDirPrefix); err != nil {
		return "", nil, fmt.Errorf("bodies: %w", err)
	}
	if lock, err = lockDir(processDir); err != nil {
		_ = os.RemoveAll(processDir)
		return "", nil, fmt.Errorf("bodies: %w", err)
	}
	return processDir, lock, nil
}

// lockDir locks a process's directory. Closing the returned file unlocks it. It fails if another process holds
// the lock.
func lockDir(dir string) (*os.File, error) {
	f, err := os.OpenFile(filepath.Join(dir, lockFile), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		return nil, err
	}
	return f, nil
}

// removeStaleDir removes the directory of a process if its lock file is not locked: the process has ended.
func removeStaleDir(dir string) {
	if _, err := os.Stat(filepath.Join(dir, lockFile)); err != nil {
		return // the process has yet to create the lock file; the next start checks again
	}
	f, err := lockDir(dir)
	if err != nil {
		return
	}
	_ = os.RemoveAll(dir)
	_ = f.Close()
}
