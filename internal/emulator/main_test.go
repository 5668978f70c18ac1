package emulator_test

import (
	"testing"

	"go.uber.org/goleak"
)

// Guards against a goroutine of a server, a connection, a copy or a watch that outlives Kill or Close.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
