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

// Entry is one line of a golden file that CheckEntries compares.
type Entry struct {
	Name string // unique in the file; without ": "
	Data string // any text
}

// CheckEntries compares entries with a golden file directly under testdata, byte for byte. The file has one entry a
// line, with its data quoted, so that control characters and line ends of a protocol are readable.
func CheckEntries(t testing.TB, file string, entries []Entry) {
	t.Helper()
	var got bytes.Buffer
	for _, e := range entries {
		fmt.Fprintf(&got, "%s: %s\n", e.Name, strconv.QuoteToASCII(e.Data))
	}
	Bytes(t, filepath.Join("..", file), got.Bytes())
}

// ReadEntries returns the data of the entries of a golden file directly under testdata, by name.
func ReadEntries(t testing.TB, file string) map[string]string {
	t.Helper()
	entries := map[string]string{}
	lines := bufio.NewScanner(bytes.NewReader(Read(t, filepath.Join("..", file))))
	for lines.Scan() {
		name, quoted, ok := strings.Cut(lines.Text(), ": ")
		text, err := strconv.Unquote(quoted)
		if _, twice := entries[name]; !ok || err != nil || twice {
			t.Fatalf("%s: malformed line or repeated name: %q", file, lines.Text())
		}
		entries[name] = text
	}
	if err := lines.Err(); err != nil {
		t.Fatalf("%s: %v", file, err)
	}
	return entries
}
