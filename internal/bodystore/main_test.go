package bodystore

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain fails if a goroutine, such as that of a Store after Close, is still running after the tests.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
