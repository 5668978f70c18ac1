package emulator_test

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain fails if a goroutine of a server, a connection, a copy or a watch outlives Kill or Close.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
