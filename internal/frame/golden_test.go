package frame

import (
	"bufio"
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "write the golden files of what is sent anew")

// entry is one named line of a golden file.
type entry struct {
	name string
	data string
}

// checkGolden compares entries with a golden file, byte for byte.
func checkGolden(t *testing.T, file string, entries []entry) {
	t.Helper()
	var got bytes.Buffer
	for _, e := range entries {
		fmt.Fprintf(&got, "%s: %s\n", e.name, strconv.QuoteToASCII(e.data))
	}
	path := filepath.Join("testdata", file)
	if *update {
		if err := os.WriteFile(path, got.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got.Bytes(), want) {
		t.Errorf("%s: got\n%swant\n%s", file, got.Bytes(), want)
	}
}

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
