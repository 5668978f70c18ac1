package upstream_test

import (
	"testing"

	"go.uber.org/goleak"
)

// Guards against a goroutine of a client, a connection or a dial that outlives Client.Wait.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
