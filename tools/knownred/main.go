// Command knownred runs all tests of the module. The tests that KNOWN-RED.txt lists run separately: the result of
// each is printed, but does not affect the exit code. The arguments are flags of go test.
//
// The exit code is 1 if a test that is not listed fails, if the list is malformed or names a test that does not
// exist, or if the go command fails.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
)

// listFile is the list of known failures, in the root of the module.
const listFile = "KNOWN-RED.txt"

func main() {
	if err := run(".", os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		os.Exit(1)
	}
}

// run tests the module in dir. The error for a fault of the list wraps a *listSyntaxError or a *missingTestError.
func run(dir string, flags []string, out io.Writer) error {
	list, err := readList(dir)
	if err != nil {
		return err
	}
	runner := testRunner{dir: dir, flags: flags, out: out}
	for _, failure := range list {
		if err := runner.runListed(failure); err != nil {
			return fmt.Errorf("%s: %w", listFile, err)
		}
	}
	return runner.runUnlisted(skipPatterns(list))
}

// readList reads the list of the module in dir. A module without the file has an empty list.
func readList(dir string) ([]knownFailure, error) {
	text, err := os.ReadFile(filepath.Join(dir, listFile))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	list, err := parseList(string(text))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", listFile, err)
	}
	return list, nil
}

// missingTestError reports an entry of the list whose test does not exist.
type missingTestError struct {
	Package string
	Test    string
}

func (e *missingTestError) Error() string {
	return fmt.Sprintf("test %s does not exist in %s", e.Test, e.Package)
}

// testRunner runs the go command in a module.
type testRunner struct {
	dir   string
	flags []string // flags for every call of go test
	out   io.Writer
}

func (r testRunner) goCommand(args ...string) *exec.Cmd {
	cmd := exec.Command("go", args...)
	cmd.Dir = r.dir
	return cmd
}

// runListed runs a listed test and prints its result. A failure of the test is not an error. An error is a
// *missingTestError.
func (r testRunner) runListed(failure knownFailure) error {
	pattern := "^" + failure.Test + "$"
	found, err := r.goCommand("test", "-list", pattern, failure.Package).Output()
	if err != nil || !slices.Contains(strings.Split(string(found), "\n"), failure.Test) {
		return &missingTestError{Package: failure.Package, Test: failure.Test}
	}
	result := "passes now: remove it from the list"
	args := slices.Concat([]string{"test"}, r.flags, []string{"-run", pattern, failure.Package})
	if err := r.goCommand(args...).Run(); err != nil {
		result = "fails, as known"
	}
	fmt.Fprintf(r.out, "known red: %s %s %s: %s (issue %d)\n", failure.Package, failure.Test, result, failure.Seen, failure.Issue)
	return nil
}

// runUnlisted runs all tests except the listed ones and returns an error if one of them fails. skip has the patterns of
// the listed tests by package.
func (r testRunner) runUnlisted(skip map[string]string) error {
	packages, err := r.listPackages("./...")
	if err != nil {
		return err
	}
	var faults []error
	for pkg, pattern := range skip {
		paths, err := r.listPackages(pkg)
		if err != nil {
			return err
		}
		packages = slices.DeleteFunc(packages, func(path string) bool { return slices.Contains(paths, path) })
		faults = append(faults, r.runTests("-skip", pattern, pkg))
	}
	if len(packages) > 0 {
		faults = append(faults, r.runTests(packages...))
	}
	return errors.Join(faults...)
}

// listPackages returns the import paths that a package pattern matches.
func (r testRunner) listPackages(pattern string) ([]string, error) {
	paths, err := r.goCommand("list", "-f", "{{.ImportPath}}", pattern).Output()
	if err != nil {
		return nil, fmt.Errorf("go list %s: %w", pattern, err)
	}
	return strings.Fields(string(paths)), nil
}

// runTests runs go test and copies its output to out.
func (r testRunner) runTests(args ...string) error {
	cmd := r.goCommand(slices.Concat([]string{"test"}, r.flags, args)...)
	cmd.Stdout, cmd.Stderr = r.out, r.out
	if err := cmd.Run(); err != nil {
		return fmt.Errorf("go test: %w", err)
	}
	return nil
}
