package platform

import (
	"testing"

	"go.uber.org/goleak"
)

// Guards against a request that waits on after its query has ended.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
