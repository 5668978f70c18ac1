package eventlog

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// captureLog returns the output of the events that log writes.
func captureLog(asJSON bool, log func()) string {
	var out bytes.Buffer
	SetOutput(&out, asJSON)
	defer SetOutput(os.Stderr, false)
	log()
	return out.String()
}

// After the burst, the log gets one line a second, however many events a second occur.
func TestRateLimitedLogsOneLineASecondAfterBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		got := captureLog(false, func() {
			var limited RateLimited
			for range 1000 { // ten seconds
				limited.Log(EndpointListInvalid, "x")
				time.Sleep(10 * time.Millisecond)
			}
		})
		if n := strings.Count(got, "event=endpoint_list_invalid"); n <= burst || n > burst+10 {
			t.Errorf("%d lines logged, want more than %d and at most %d", n, burst, burst+10)
		}
	})
}

// A value from outside the program cannot forge a log line, neither as text nor as JSON.
func TestLogEscapesLineBreaks(t *testing.T) {
	err := errors.Join(errors.New("one"), errors.New("event=stopped"))
	log := func() {
		EndpointListInvalid.Log(err)
		QueryRejected.Log("platform", 400, "a\r\nb \"c\"")
	}
	text := captureLog(false, log)
	for _, want := range []string{
		`discovery: endpoint list invalid: event=endpoint_list_invalid err="one; event=stopped"`,
		"front=platform status=400",
	} {
		if !strings.Contains(text, want) || strings.Count(text, "\n") != 2 {
			t.Errorf("got %q, want 2 lines that contain %q", text, want)
		}
	}
	for _, line := range strings.Split(strings.TrimSpace(captureLog(true, log)), "\n") {
		var v map[string]any
		err := json.Unmarshal([]byte(line), &v)
		if err != nil || v["event"] == nil || v["@level"] != "warn" || v["@module"] == "" {
			t.Errorf("line %s: error %v, want JSON with an event, level warn and a module", line, err)
		}
	}
}

// A component's level applies at once and to that component only, and stays when the output changes.
func TestSetLevelPerComponent(t *testing.T) {
	defer func() {
		_ = SetLevel("all", "info")
		_ = SetLevel(raftComponent, "warn")
	}()
	if SetLevel("peer", "loud") == nil || SetLevel("nobody", "warn") == nil {
		t.Error("an unknown level or component was accepted")
	}
	if err := SetLevel("discovery", "error"); err != nil {
		t.Fatal(err)
	}
	got := captureLog(false, func() {
		EndpointListInvalid.Log("x")
		Stopped.Log()
		RaftLogger().Info("talk")
		RaftLogger().Warn("lost")
	})
	if strings.Contains(got, "endpoint_list_invalid") || strings.Contains(got, "talk") ||
		!strings.Contains(got, "event=stopped") || !strings.Contains(got, "lost: event=raft") ||
		Levels()["discovery"] != "error" {
		t.Errorf("got %q, want stopped and the Raft warning only, and level error for discovery", got)
	}
	if err := SetLevel("all", "off"); err != nil || captureLog(false, func() { Failed.Log("x") }) != "" {
		t.Errorf("level off: error %v, or a line was logged", err)
	}
}

// docs/oncall.md contains the table of the registered events. UPDATE_DOCS=1 writes it.
func TestOncallEventTableMatchesRegistry(t *testing.T) {
	path := filepath.Join("..", "..", "docs", "oncall.md")
	page, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	const begin, end = "<!-- events -->\n", "<!-- end -->\n"
	before, rest, begins := strings.Cut(string(page), begin)
	_, after, ends := strings.Cut(rest, end)
	if !begins || !ends {
		t.Fatal("docs/oncall.md lacks the lines that mark the table of events")
	}
	want := before + begin + MarkdownTable() + end + after
	if os.Getenv("UPDATE_DOCS") != "" {
		err = os.WriteFile(path, []byte(want), 0o644)
	}
	if err != nil || want != string(page) && os.Getenv("UPDATE_DOCS") == "" {
		t.Errorf("docs/oncall.md differs from the registry of events "+
			"(UPDATE_DOCS=1 go test ./internal/eventlog writes it): %v", err)
	}
}
