package handover

import (
	"net"
	"path/filepath"
	"testing"
)

// process is one process of a group. The shares that it gets are sent to a channel.
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

// awaitShare reads shares until it gets the wanted one.
func (p process) awaitShare(t *testing.T, want Share) {
	t.Helper()
	for got := range p.shares {
		if got == want {
			return
		}
	}
}

// The shares of all processes together are at most the limit. A process that is alone has the whole limit, also after
// another process has retired or left.
func TestSharesSumToLimit(t *testing.T) {
	dir := t.TempDir()
	first := join(t, dir)
	if s := <-first.shares; s != (Share{1, 160}) {
		t.Fatalf("share of a process that is alone = %+v, want %+v", s, Share{1, 160})
	}
	second := join(t, dir)
	if s := <-second.shares; s != (Share{2, 80}) {
		t.Fatalf("first share of the second process = %+v, want %+v", s, Share{2, 80})
	}
	first.awaitShare(t, Share{2, 80})
	third := join(t, dir)
	third.awaitShare(t, Share{3, 53})
	first.awaitShare(t, Share{3, 53})
	second.awaitShare(t, Share{3, 53})
	third.Close()
	first.awaitShare(t, Share{2, 80})
	second.awaitShare(t, Share{2, 80})
	first.Retire(30) // the rest of its share goes to the other process
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
		t.Errorf("share beside a stale socket = %+v, want %+v", s, Share{1, 160})
	}
	if _, err := Join(filepath.Join(dir, "none"), "n1", 1, func(Share) {}); err == nil {
		t.Error("Join in a directory that does not exist succeeded, want an error")
	}
}
