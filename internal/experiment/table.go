package experiment

import (
	"encoding/csv"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// resultTable is a table of results, which write stores as CSV and as Markdown.
type resultTable struct {
	name    string // name of the files, without extension
	columns []string
	rows    [][]string
}

// add appends a row. It formats a float64 with three decimal digits and other values as fmt.Sprint does.
func (t *resultTable) add(cells ...any) {
	row := make([]string, len(cells))
	for i, c := range cells {
		if f, ok := c.(float64); ok {
			row[i] = fmt.Sprintf("%.3f", f)
		} else {
			row[i] = fmt.Sprint(c)
		}
	}
	t.rows = append(t.rows, row)
}

// write writes the table as name.csv and name.md into a directory, which it creates if necessary. If dir is empty,
// write does nothing.
func (t *resultTable) write(dir string) error {
	if dir == "" {
		return nil
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("experiment: create the directory for table %s: %w", t.name, err)
	}
	if err := t.writeCSV(filepath.Join(dir, t.name+".csv")); err != nil {
		return fmt.Errorf("experiment: write table %s: %w", t.name, err)
	}
	if err := os.WriteFile(filepath.Join(dir, t.name+".md"), []byte(t.markdown()), 0o644); err != nil {
		return fmt.Errorf("experiment: write table %s: %w", t.name, err)
	}
	return nil
}

func (t *resultTable) writeCSV(path string) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	err = csv.NewWriter(f).WriteAll(append([][]string{t.columns}, t.rows...))
	return errors.Join(err, f.Close())
}

func (t *resultTable) markdown() string {
	var b strings.Builder
	line := func(cells []string) { b.WriteString("| " + strings.Join(cells, " | ") + " |\n") }
	line(t.columns)
	line(slices.Repeat([]string{"---"}, len(t.columns)))
	for _, row := range t.rows {
		line(row)
	}
	return b.String()
}
