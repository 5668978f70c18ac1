package opensearch

import (
	"testing"

	"go.uber.org/goleak"
)

// Guards against a search that waits on after its query has ended, and a body store that stays open.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
