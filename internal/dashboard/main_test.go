package dashboard

import (
	"testing"

	"go.uber.org/goleak"
)

// Guards against a sampler or a connection that outlives Serve.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
