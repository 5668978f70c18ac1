package http1

import (
	"testing"

	"go.uber.org/goleak"
)

// Guards against a goroutine of a connection that outlives Server.Stop.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
