package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// Guards against sound clients that wait without an answer once a flood of new names has lasted as long as the router's
// windows of statistics, and for twice that after (issue 55). The long run is linkpass-lab run floods.
func TestFloodLongerThanWindowsDelaysNoOtherClient(t *testing.T) {
	programs := os.Getenv("LINKPASS_BUILT")
	if programs == "" {
		t.Skip("LINKPASS_BUILT is not set; make test sets it")
	}
	for _, flood := range []string{"full-fleet", "fast-fleet"} {
		t.Run(flood, func(t *testing.T) {
			t.Parallel()
			cmd := exec.CommandContext(t.Context(), filepath.Join(programs, "linkpass-lab"), "run", "floods", "--programs", programs,
				"--only", flood, "--flood", "30s", "--quiet", "30s", "--seed", "1")
			output, err := cmd.CombinedOutput()
			t.Logf("%s", output)
			if err != nil {
				t.Error(err)
			}
		})
	}
}
