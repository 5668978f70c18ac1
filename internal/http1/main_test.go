package http1

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain fails if a goroutine of a connection is still running after Server.Stop.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
