// Command knownred runs all tests of the module. Those that KNOWN-RED.txt lists run apart: each is printed with its
// result, and does not decide. Every other failure does, and so does a list that is not in order. Its arguments are
// go test's. Exit code 1: a test failed, or the list is not in order.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"slices"
	"strings"
)

const listFile = "KNOWN-RED.txt"

func main() {
	if err := run(".", os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		os.Exit(1)
	}
}

// run tests the module in a directory.
func run(dir string, flags []string, out io.Writer) error {
	text, err := os.ReadFile(dir + "/" + listFile)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	list, err := parse(string(text))
	if err != nil {
		return fmt.Errorf("%s: %w", listFile, err)
	}
	t := tester{dir: dir, flags: flags, out: out}
	for _, r := range list {
		if err := t.apart(r); err != nil {
			return fmt.Errorf("%s: %w", listFile, err)
		}
	}
	return t.rest(skips(list))
}

// tester calls the go command.
type tester struct {
	dir   string
	flags []string
	out   io.Writer
}

func (t tester) command(args ...string) *exec.Cmd {
	c := exec.Command("go", args...)
	c.Dir = t.dir
	return c
}

// apart runs a listed test and prints how it went. One that does not exist is an error.
func (t tester) apart(r red) error {
	found, err := t.command("test", "-list", "^"+r.Test+"$", r.Package).Output()
	if err != nil || !slices.Contains(strings.Split(string(found), "\n"), r.Test) {
		return fmt.Errorf("there is no %s in %s", r.Test, r.Package)
	}
	result := "passes now: take it off the list"
	if err := t.command(slices.Concat([]string{"test"}, t.flags, []string{"-run", "^" + r.Test + "$", r.Package})...).Run(); err != nil {
		result = "fails, as known"
	}
	fmt.Fprintf(t.out, "known red: %s %s %s: %s (issue %s)\n", r.Package, r.Test, result, r.Cause, r.Issue)
	return nil
}

// rest runs all other tests; their failures decide.
func (t tester) rest(skip map[string]string) error {
	names, err := t.command("list", "-f", "{{.ImportPath}}", "./...").Output()
	if err != nil {
		return fmt.Errorf("go list: %w", err)
	}
	plain := strings.Fields(string(names))
	var faults []error
	for pkg, pattern := range skip {
		name, err := t.command("list", "-f", "{{.ImportPath}}", pkg).Output()
		if err != nil {
			return fmt.Errorf("go list %s: %w", pkg, err)
		}
		plain = slices.DeleteFunc(plain, func(p string) bool { return p == strings.TrimSpace(string(name)) })
		faults = append(faults, t.test("-skip", pattern, pkg))
	}
	if len(plain) > 0 {
		faults = append(faults, t.test(plain...))
	}
	return errors.Join(faults...)
}

func (t tester) test(args ...string) error {
	c := t.command(slices.Concat([]string{"test"}, t.flags, args)...)
	c.Stdout, c.Stderr = t.out, t.out
	if err := c.Run(); err != nil {
		return fmt.Errorf("go test: %w", err)
	}
	return nil
}
