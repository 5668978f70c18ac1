package bodystore

import (
	"testing"

	"go.uber.org/goleak"
)

// Guards against the store's goroutine outliving Close.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
