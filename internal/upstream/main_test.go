package upstream_test

import (
	"testing"

	"go.uber.org/goleak"
)

// Guards against goroutines of a client, a connection or a dial that still run after Client.Wait.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
