package opensearch

import (
	"testing"

	"go.uber.org/goleak"
)

// Guards against leaked goroutines: of a search that still waits after its query has ended, or of a body store that is
// not closed.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
