package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// runLongFlood runs a flood for three times the router's windows of statistics, and fails the test if a rule is broken.
func runLongFlood(t *testing.T, flood string) {
	t.Helper()
	programs := os.Getenv("LINKPASS_BUILT")
	if programs == "" {
		t.Skip("LINKPASS_BUILT is not set; make test sets it")
	}
	cmd := exec.CommandContext(t.Context(), filepath.Join(programs, "linkpass-lab"), "run", "floods", "--programs", programs,
		"--only", flood, "--flood", "30s", "--quiet", "30s", "--seed", "1")
	output, err := cmd.CombinedOutput()
	t.Logf("%s", output)
	if err != nil {
		t.Error(err)
	}
}

// Guards against sound clients that wait without an answer once a flood of new names has lasted as long as the router's
// windows of statistics, and for twice that after (issue 55). The long run is linkpass-lab run floods.
func TestFloodLongerThanWindowsDelaysNoOtherClient(t *testing.T) { runLongFlood(t, "fast-fleet") }

// Guards against the same where the flood brings the fleet to its limit, so that queries end at their deadlines (issue 55).
func TestFloodOfFullFleetDelaysNoOtherClient(t *testing.T) { runLongFlood(t, "full-fleet") }
