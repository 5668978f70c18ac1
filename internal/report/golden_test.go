package report

import (
	"bufio"
	"bytes"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// readGolden reads the entries of a golden file, by name.
func readGolden(t *testing.T, file string) map[string]string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", file))
	if err != nil {
		t.Fatal(err)
	}
	entries := map[string]string{}
	for lines := bufio.NewScanner(bytes.NewReader(data)); lines.Scan(); {
		name, quoted, ok := strings.Cut(lines.Text(), ": ")
		text, err := strconv.Unquote(quoted)
		if _, twice := entries[name]; !ok || err != nil || twice {
			t.Fatalf("%s: unusable line %q", file, lines.Text())
		}
		entries[name] = text
	}
	return entries
}
