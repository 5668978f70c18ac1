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
	// shown matches a command in a page: between backquotes, or on a line of an indented block.
	shown = regexp.MustCompile("(?m)`((?:bin/)?linkpass(?:-lab)? [^`]*)`|^    ((?:bin/)?linkpass(?:-lab)? [^#\n]*|curl [^#\n]*)")

	// samples replaces placeholders of commands, addresses what a test cannot bind or reach.
	samples = strings.NewReplacer("[serve] ", "", "[", "", "]", "", " …", "", "KIND", "lease", "SLICE SLICE", "1048578 1048579", "move INDEX SLICE", "move players 1048577",
		"--cell 3", "--cell 0", "SLICE", "1048576", "INDEX", "players", " PLAN", " 1", "BACKUP", "backup.json", "KEY", "search.max_result_window", "PART LEVEL", "peer warn", "--into N", "--into 2", "--to a+b", "--to $SET",
		"--count N", "--count 2", " ID", " x", "recover --opensearch FILE", "recover --opensearch $FILE", "--opensearch FILE", "--opensearch $FILE", "backup FILE", "backup backup.json")
	addresses = strings.NewReplacer("127.0.0.1:9200", "$SEARCH", "127.0.0.1:19000", "$DOOR")
)

// elsewhere are commands that take long or run until interrupted, by their beginning, and the tests that run them.
var elsewhere = map[string]string{
	"linkpass --opensearch":   "TestNewConfiguration of internal/daemon, and each demo",
	"linkpass demo":           "TestCommandsOfScriptsAndPages runs on one",
	"linkpass page":           "TestServeUntilContextEnds of internal/dashboard runs what it calls",
	"linkpass-lab fleet":      "no test: the demo starts the same emulated servers",
	"linkpass-lab run":        "TestReshapeKeepsTheRules and TestDrainsKeepTheRules of internal/experiment; run bodies is run by hand alone",
	"linkpass-lab hold":       "TestBodiesUnder32MB of internal/experiment",
	"linkpass slices abandon": "slices.txtar, where it is certain how far the plan has come",
	"linkpass store promote":  "store.txtar: a member that no process stands for does not catch up",
}

// rejected are the commands that a running coordinator without other instances rejects, and why.
var rejected = map[string]string{"linkpass store recover": "recovery refused"}

// documented writes a script of each page: every command that it shows, in its order; of a table's optional words all.
func documented(t *testing.T) (scripts []string) {
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
		t.Errorf("only %d commands found in the pages", total)
	}
	return scripts
}

// pageScript returns a page's script and the number of its commands.
func pageScript(text string) ([]byte, int) {
	var script bytes.Buffer
	fmt.Fprintln(&script, "env ROUTER_CONFIG=$CONFIG")
	n := 0
	for _, found := range shown.FindAllStringSubmatch(text, -1) {
		line := addresses.Replace(strings.TrimPrefix(strings.TrimSpace(found[1]+found[2]), "bin/"))
		if !strings.HasPrefix(line, "curl") {
			line = samples.Replace(line)
		}
		if valueOfPrefix(elsewhere, line) != "" {
			continue
		}
		if reason := valueOfPrefix(rejected, line); reason != "" {
			fmt.Fprintf(&script, "! %s\nstderr '%s'\n", line, reason)
		} else {
			fmt.Fprintln(&script, line)
		}
		n++
	}
	return script.Bytes(), n
}

// valueOfPrefix returns the value of a key that a line begins with, or "".
func valueOfPrefix(m map[string]string, line string) string {
	for key, v := range m {
		if strings.HasPrefix(line, key) {
			return v
		}
	}
	return ""
}

// curl makes the call that curl would, for the flags that the pages use. Unlike curl it fails on a status of 400 or more.
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
