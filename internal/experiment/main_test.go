package experiment

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain detects goroutines of a coordinator, the fleet or a run that outlive their world. It ignores handleConn: the
// Raft of a stopped coordinator keeps its pooled connections open, and the goroutines at their other ends, which are in
// the same process, wait for data.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("github.com/hashicorp/raft.(*NetworkTransport).handleConn"))
}
