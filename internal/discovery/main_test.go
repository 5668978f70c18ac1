package discovery

import (
	"testing"

	"go.uber.org/goleak"
)

// Guards against a call's goroutine or a dial that outlives Watcher.Run.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
