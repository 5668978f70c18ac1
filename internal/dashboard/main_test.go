package dashboard

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain fails if a goroutine of the sampler or of a connection outlives Serve.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
