package discovery

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain fails if a goroutine, such as that of a call or a dial, outlives Watcher.Run.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
