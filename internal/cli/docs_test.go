package cli

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var (
	// commandPattern matches a command in a page, either between backquotes or on a line of an indented block.
	commandPattern = regexp.MustCompile("(?m)`((?:bin/)?linkpass(?:-lab)? [^`]*)`|^    ((?:bin/)?linkpass(?:-lab)? [^#\n]*|curl [^#\n]*)")

	// placeholders replaces the placeholders in commands by arguments that work in a script.
	placeholders = strings.NewReplacer("[serve] ", "", "[", "", "]", "", " …", "", "KIND", "lease", "SLICE SLICE", "1048578 1048579", "move INDEX SLICE", "move players 1048577",
		"--cell 3", "--cell 0", "SLICE", "1048576", "INDEX", "players", " PLAN", " 1", "BACKUP", "backup.json", "KEY", "search.max_result_window", "PART LEVEL", "peer warn", "--into N", "--into 2", "--to a+b", "--to $SET",
		"--count N", "--count 2", " ID", " x", "recover --opensearch FILE", "recover --opensearch $FILE", "--opensearch FILE", "--opensearch $FILE", "backup FILE", "backup backup.json")

	// addresses replaces the addresses in the pages, which a test cannot bind or reach, by those of the demo.
	addresses = strings.NewReplacer("127.0.0.1:9200", "$SEARCH", "127.0.0.1:19000", "$ADMIN")
)

// omittedCommands lists the commands that the page scripts leave out, because they take long, run until they are
// interrupted or need a certain state. The key is the beginning of a command, the value says which tests run it.
var omittedCommands = map[string]string{
	"linkpass --opensearch":   "TestReloadFollowsDiscoveryAddress of internal/daemon, and each demo",
	"linkpass demo":           "TestCommandsOfScriptsAndPages runs its scripts against demos",
	"linkpass page":           "TestServeUntilContextEnds of internal/dashboard runs the function that it calls",
	"linkpass-lab fleet":      "no test runs it; the demo starts the same emulated servers",
	"linkpass-lab run":        "TestReshapeKeepsTheRules and TestDrainsKeepTheRules of internal/experiment; run bodies is only run by hand",
	"linkpass-lab hold":       "TestBodiesUnder32MB of internal/experiment",
	"linkpass slices abandon": "slices.txtar, where the step of the plan is known",
	"linkpass store promote":  "store.txtar; a member without a running process does not catch up",
}

// rejectedCommands lists the commands that must fail on a running coordinator without other instances. The key is the
// beginning of a command, the value matches its error message.
var rejectedCommands = map[string]string{"linkpass store recover": "recovery refused"}

// writePageScripts writes one script for each page that shows commands, with all of them in the page's order. Optional
// words, which the tables of the pages put in brackets, are all included. It returns the paths of the scripts.
func writePageScripts(t *testing.T) (scripts []string) {
	t.Helper()
	pages, err := filepath.Glob(filepath.Join("..", "..", "docs", "*.md"))
	if err != nil {
		t.Fatal(err)
	}
	dir, total := t.TempDir(), 0
	for _, page := range append(pages, filepath.Join("..", "..", "README.md")) {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		script, n := pageScript(string(text))
		if n == 0 {
			continue
		}
		total += n
		file := filepath.Join(dir, strings.TrimSuffix(filepath.Base(page), ".md")+"-page.txtar")
		if err := os.WriteFile(file, script, 0o600); err != nil {
			t.Fatal(err)
		}
		scripts = append(scripts, file)
	}
	if total < 40 {
		t.Errorf("found %d commands in the pages, want 40 at least", total)
	}
	return scripts
}

// pageScript returns the script of a page and the number of commands in it.
func pageScript(text string) ([]byte, int) {
	var script bytes.Buffer
	fmt.Fprintln(&script, "env ROUTER_CONFIG=$CONFIG")
	n := 0
	for _, found := range commandPattern.FindAllStringSubmatch(text, -1) {
		line := addresses.Replace(strings.TrimPrefix(strings.TrimSpace(found[1]+found[2]), "bin/"))
		if !strings.HasPrefix(line, "curl") {
			line = placeholders.Replace(line)
		}
		if lookupPrefix(omittedCommands, line) != "" {
			continue
		}
		if reason := lookupPrefix(rejectedCommands, line); reason != "" {
			fmt.Fprintf(&script, "! %s\nstderr '%s'\n", line, reason)
		} else {
			fmt.Fprintln(&script, line)
		}
		n++
	}
	return script.Bytes(), n
}

// lookupPrefix returns the value of a key that line begins with, or "" if there is none.
func lookupPrefix(m map[string]string, line string) string {
	for key, v := range m {
		if strings.HasPrefix(line, key) {
			return v
		}
	}
	return ""
}

// curl makes the call that the program curl makes, for the flags that the pages use. Unlike curl without --fail, it
// fails on a status of 400 or more. It returns curl's exit codes: 3 for a malformed URL, 7 for a failed call, 22 for
// such a status.
func curl(args []string) int {
	method, url, body := "", "", ""
	for i := 0; i < len(args); i++ {
		switch args[i] {
		case "-s", "-i", "-L":
		case "-X":
			i++
			method = args[i]
		case "-d":
			i++
			body = args[i]
		default:
			url = "http://" + os.ExpandEnv(args[i])
		}
	}
	if method == "" && body != "" {
		method = "POST"
	}
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 3
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 7
	}
	defer res.Body.Close()
	_, err = io.Copy(os.Stdout, res.Body)
	if err != nil || res.StatusCode >= 400 {
		fmt.Fprintln(os.Stderr, res.Status, err)
		return 22
	}
	return 0
}
