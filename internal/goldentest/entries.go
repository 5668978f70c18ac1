package goldentest

import (
	"bufio"
	"bytes"
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// Entry is one named line of a golden file of entries.
type Entry struct {
	Name string
	Data string
}

// CheckEntries compares entries with a golden file directly under testdata, byte for byte. The file holds one quoted entry
// a line, so that control characters and line ends of a protocol can be read.
func CheckEntries(t testing.TB, file string, entries []Entry) {
	t.Helper()
	var got bytes.Buffer
	for _, e := range entries {
		fmt.Fprintf(&got, "%s: %s\n", e.Name, strconv.QuoteToASCII(e.Data))
	}
	Bytes(t, filepath.Join("..", file), got.Bytes())
}

// ReadEntries reads the entries of a golden file directly under testdata, by name.
func ReadEntries(t testing.TB, file string) map[string]string {
	t.Helper()
	entries := map[string]string{}
	lines := bufio.NewScanner(bytes.NewReader(Read(t, filepath.Join("..", file))))
	for lines.Scan() {
		name, quoted, ok := strings.Cut(lines.Text(), ": ")
		text, err := strconv.Unquote(quoted)
		if _, twice := entries[name]; !ok || err != nil || twice {
			t.Fatalf("%s: unusable line %q", file, lines.Text())
		}
		entries[name] = text
	}
	if err := lines.Err(); err != nil {
		t.Fatalf("%s: %v", file, err)
	}
	return entries
}
