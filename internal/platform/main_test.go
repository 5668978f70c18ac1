package platform

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain fails if a goroutine still waits for an answer after all tests have ended.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
