package handover

import (
	"net"
	"path/filepath"
	"testing"
)

// post is a process whose shares the test reads.
type post struct {
	*Group
	shares chan Share
}

func join(t *testing.T, dir string) post {
	t.Helper()
	shares := make(chan Share, 16)
	p, err := Join(dir, "n1", 160, func(s Share) { shares <- s })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return post{p, shares}
}

// until waits for a share.
func (p post) until(t *testing.T, want Share) {
	t.Helper()
	for got := range p.shares {
		if got == want {
			return
		}
	}
}

// At every moment the shares of all that run add up to the whole at most; one that is
// alone has all of it, whatever the others' end was.
func TestSharesAddUp(t *testing.T) {
	dir := t.TempDir()
	first := join(t, dir)
	if s := <-first.shares; s != (Share{1, 160}) {
		t.Fatalf("alone: %+v", s)
	}
	second := join(t, dir)
	if s := <-second.shares; s != (Share{2, 80}) {
		t.Fatalf("the second begins with %+v", s)
	}
	first.until(t, Share{2, 80})
	third := join(t, dir)
	third.until(t, Share{3, 53})
	first.until(t, Share{3, 53})
	second.until(t, Share{3, 53})
	third.Close()
	first.until(t, Share{2, 80})
	second.until(t, Share{2, 80})
	first.Retire(30) // takes nothing more: what it does not hold is the other's
	first.until(t, Share{2, 30})
	second.until(t, Share{2, 130})
	first.Close()
	second.until(t, Share{1, 160})
	fourth := join(t, dir)
	second.until(t, Share{2, 80})
	fourth.until(t, Share{2, 80})
}

// The files of a process that crashed do no harm.
func TestStaleFiles(t *testing.T) {
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
