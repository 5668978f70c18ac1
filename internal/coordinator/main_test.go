package coordinator

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain guards against goroutines that still wait for an event loop that has ended.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
