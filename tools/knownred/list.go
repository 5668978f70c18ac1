package main

import (
	"fmt"
	"regexp"
	"strings"
)

// most is how many tests may be listed.
const most = 3

// red is one line of the list: a test that fails for a real fault that is not mended yet.
type red struct {
	Package, Test string
	Cause         string
	Issue         string
}

var form = regexp.MustCompile(`^(\./\S+|\.) (Test\w+): (\S.*) \(issue (\d+)\)$`)

// parse reads the list. Anything but a few lines of its form is an error that names the line.
func parse(text string) ([]red, error) {
	var list []red
	seen := map[string]bool{}
	for i, line := range strings.Split(strings.TrimSuffix(text, "\n"), "\n") {
		if text == "" {
			break
		}
		m := form.FindStringSubmatch(line)
		if m == nil {
			return nil, fmt.Errorf("line %d: want «./PACKAGE TestNAME: CAUSE (issue N)», not %q", i+1, line)
		}
		if key := m[1] + " " + m[2]; seen[key] {
			return nil, fmt.Errorf("line %d: %s is listed twice", i+1, key)
		} else {
			seen[key] = true
		}
		list = append(list, red{Package: m[1], Test: m[2], Cause: m[3], Issue: m[4]})
	}
	if len(list) > most {
		return nil, fmt.Errorf("%d tests are listed; %d is the most", len(list), most)
	}
	return list, nil
}

// skips is, for each package that has any, the pattern of its tests that run apart.
func skips(list []red) map[string]string {
	out := map[string]string{}
	for _, r := range list {
		if out[r.Package] == "" {
			out[r.Package] = "^(" + r.Test + ")$"
			continue
		}
		out[r.Package] = strings.TrimSuffix(out[r.Package], ")$") + "|" + r.Test + ")$"
	}
	return out
}
