package launch

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// writeProgram creates an executable file and removes it when the test ends.
func writeProgram(t *testing.T, path string) {
	t.Helper()
	if err := os.WriteFile(path, []byte("#!/bin/sh\n"), 0o700); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = os.Remove(path) })
}

func TestFindPrefersOwnDirectoryToPath(t *testing.T) {
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	ownDir, pathDir := filepath.Dir(self), t.TempDir()
	t.Setenv("PATH", pathDir)
	const inBoth, onPath, isDir = "launch-test-both", "launch-test-path", "launch-test-dir"
	for _, path := range []string{
		filepath.Join(ownDir, inBoth), filepath.Join(pathDir, inBoth), filepath.Join(pathDir, onPath), filepath.Join(pathDir, isDir),
	} {
		writeProgram(t, path)
	}
	folder := filepath.Join(ownDir, isDir)
	if err := os.Mkdir(folder, 0o700); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = os.Remove(folder) })
	for _, c := range []struct{ name, program, want string }{
		{"own directory before the path", inBoth, filepath.Join(ownDir, inBoth)},
		{"path", onPath, filepath.Join(pathDir, onPath)},
		{"directory of that name", isDir, filepath.Join(pathDir, isDir)},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got, err := find(c.program); err != nil || got != c.want {
				t.Errorf("find = %q, %v; want %q", got, err, c.want)
			}
		})
	}
}

func TestExecNamesMissingProgram(t *testing.T) {
	t.Setenv("PATH", t.TempDir())
	const missing = "launch-test-missing"
	if err := Exec(missing, nil); err == nil || !strings.HasPrefix(err.Error(), missing+" is neither beside ") {
		t.Errorf("error = %v, want one that names %s as missing", err, missing)
	}
}
