package coordinator

import (
	"testing"

	"go.uber.org/goleak"
)

// Guards against a goroutine that waits for an event loop that has ended.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
