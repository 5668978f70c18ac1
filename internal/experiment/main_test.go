package experiment

import (
	"testing"

	"go.uber.org/goleak"
)

// Guards against a goroutine of a coordinator, the fleet or a run that outlives its world. A stopped coordinator's Raft
// keeps its pooled connections open, and the other ends of these wait in the same process.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("github.com/hashicorp/raft.(*NetworkTransport).handleConn"))
}
