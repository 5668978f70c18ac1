package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestListsThatAreNotInOrder(t *testing.T) {
	line := "./a TestA: it is so (issue 7)\n"
	for text, ok := range map[string]bool{
		"": true, line: true, line + "./b TestB: it is so (issue 7)\n. TestC: it is so (issue 8)\n": true,
		line + line: false, "\n": false, "# a remark\n" + line: false, line + "\n": false,
		"./a TestA\n": false, "./a TestA: (issue 7)\n": false, "./a TestA: it is so\n": false, "./a BenchmarkA: it is so (issue 7)\n": false,
		"./a TestA|TestB: it is so (issue 7)\n": false, "TestA: it is so (issue 7)\n": false, "./a TestA: it is so (issue seven)\n": false,
		line + "./a TestB: x (issue 7)\n./a TestC: x (issue 7)\n./a TestD: x (issue 7)\n": false,
	} {
		if _, err := parse(text); (err == nil) != ok {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// Listed tests run, are printed and do not decide; every other test does, also one of the same name elsewhere.
func TestWhatIsListedDoesNotDecide(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) {
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	test := func(pkg, name, body string) { // a test of its own file
		write(pkg+"/"+strings.ToLower(name)+"_test.go", "package x\n\nimport \"testing\"\n\nfunc Test"+name+"(t *testing.T) { "+body+" }\n")
	}
	write("go.mod", "module x\n\ngo 1.26.0\n")
	test("a", "Red", `panic("t")`)
	test("a", "Green", "")
	test("b", "Red", "")
	for _, c := range []struct {
		list, prints string
		ok           bool
	}{
		{"", "FAIL\tx/a", false},
		{"./a TestRed: it is so (issue 7)\n", "known red: ./a TestRed fails, as known: it is so (issue 7)\n", true},
		{"./a TestRed: it is so (issue 7)\n./b TestRed: it is not (issue 8)\n", "./b TestRed passes now", true},
		{"./b TestRed: it is so (issue 7)\n", "FAIL\tx/a", false},
		{"./a TestRed: it is so (issue 7)\n./a TestNone: it is so (issue 7)\n", "", false},
		{"./none TestRed: it is so (issue 7)\n", "", false},
		{"TestRed\n", "", false},
	} {
		write(listFile, c.list)
		var out bytes.Buffer
		if err := run(dir, []string{"-count=1"}, &out); (err == nil) != c.ok || !strings.Contains(out.String(), c.prints) {
			t.Errorf("%q: %v\n%s", c.list, err, out.String())
		}
	}
	write(listFile, "./a TestRed: it is so (issue 7)\n")
	test("a", "Other", "t.Fail()")
	if err := run(dir, []string{"-count=1"}, &bytes.Buffer{}); err == nil {
		t.Error("a failure beside a listed one did not decide")
	}
}
