package handover

import (
	"net"
	"path/filepath"
	"testing"
)

// process is a member of a group whose shares the test reads.
type process struct {
	*Group
	shares chan Share
}

func join(t *testing.T, dir string) process {
	t.Helper()
	shares := make(chan Share, 16)
	g, err := Join(dir, "n1", 160, func(s Share) { shares <- s })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	return process{g, shares}
}

// awaitShare waits for a share.
func (p process) awaitShare(t *testing.T, want Share) {
	t.Helper()
	for got := range p.shares {
		if got == want {
			return
		}
	}
}

// The shares of all processes sum to the limit at most; a process that is alone has all of it, however the others
// ended.
func TestSharesSumToLimit(t *testing.T) {
	dir := t.TempDir()
	first := join(t, dir)
	if s := <-first.shares; s != (Share{1, 160}) {
		t.Fatalf("alone: %+v", s)
	}
	second := join(t, dir)
	if s := <-second.shares; s != (Share{2, 80}) {
		t.Fatalf("the first share of the second process is %+v", s)
	}
	first.awaitShare(t, Share{2, 80})
	third := join(t, dir)
	third.awaitShare(t, Share{3, 53})
	first.awaitShare(t, Share{3, 53})
	second.awaitShare(t, Share{3, 53})
	third.Close()
	first.awaitShare(t, Share{2, 80})
	second.awaitShare(t, Share{2, 80})
	first.Retire(30) // the rest of its share is the other process's
	first.awaitShare(t, Share{2, 30})
	second.awaitShare(t, Share{2, 130})
	first.Close()
	second.awaitShare(t, Share{1, 160})
	fourth := join(t, dir)
	second.awaitShare(t, Share{2, 80})
	fourth.awaitShare(t, Share{2, 80})
}

// A socket left behind by a process that crashed is replaced.
func TestJoinReplacesStaleSocket(t *testing.T) {
	dir := t.TempDir()
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: filepath.Join(dir, "linkpass-n1.sock")})
	if err != nil {
		t.Fatal(err)
	}
	ln.SetUnlinkOnClose(false)
	ln.Close()
	if s := <-join(t, dir).shares; s != (Share{1, 160}) {
		t.Errorf("beside stale files: %+v", s)
	}
	if _, err := Join(filepath.Join(dir, "none"), "n1", 1, func(Share) {}); err == nil {
		t.Error("joined in a directory that is not there")
	}
}
