package handover

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"linkpass/internal/goldentest"
)

const ioTimeout = 10 * time.Second // ends a test that hangs; no check depends on it

// dialLeader connects to the leader through the name of its socket, as a process of another version does.
func dialLeader(t *testing.T, dir string) (net.Conn, *bufio.Reader) {
	t.Helper()
	nc, err := net.Dial("unix", filepath.Join(dir, "linkpass-n1.sock"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = nc.Close() })
	if err := nc.SetDeadline(time.Now().Add(ioTimeout)); err != nil {
		t.Fatal(err)
	}
	return nc, bufio.NewReader(nc)
}

// readLine reads one message.
func readLine(t *testing.T, r *bufio.Reader) string {
	t.Helper()
	line, err := r.ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	return line
}

// The golden files hold all messages that the first and the second follower read, in order: the first joins, the second
// joins, the leader retires with 30 in flight, and the second leaves.
func TestLeaderMessagesGolden(t *testing.T) {
	dir := t.TempDir()
	leader := join(t, dir)
	var first, second bytes.Buffer
	_, r1 := dialLeader(t, dir)
	first.WriteString(readLine(t, r1))
	nc2, r2 := dialLeader(t, dir)
	first.WriteString(readLine(t, r1))
	second.WriteString(readLine(t, r2))
	leader.Retire(30)
	first.WriteString(readLine(t, r1))
	second.WriteString(readLine(t, r2))
	if err := nc2.Close(); err != nil {
		t.Fatal(err)
	}
	first.WriteString(readLine(t, r1))
	leader.Close()
	if rest, err := io.ReadAll(r1); err != nil || len(rest) > 0 {
		t.Errorf("messages after the leader closed = %q, %v, want none", rest, err)
	}
	goldentest.Bytes(t, "eldest_to_first.txt", first.Bytes())
	goldentest.Bytes(t, "eldest_to_second.txt", second.Bytes())
}

// goldenMessages returns the messages of a golden file, which has one on each line.
func goldenMessages(t *testing.T, file string) []string {
	t.Helper()
	return strings.Split(strings.TrimSuffix(string(goldentest.Read(t, file)), "\n"), "\n")
}

// goldenShares are the shares that a follower reads from the golden messages, in order.
var goldenShares = []Share{
	{Processes: 2, MaxOpen: 80},
	{Processes: 3, MaxOpen: 53},
	{Processes: 3, MaxOpen: 65},
	{Processes: 2, MaxOpen: 130},
}

// A follower reads its share from each golden message and sends nothing to the leader.
func TestFollowerReadsGoldenMessages(t *testing.T) {
	dir := t.TempDir()
	ln, err := net.Listen("unix", filepath.Join(dir, "linkpass-n1.sock"))
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	follower := join(t, dir)
	nc, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if err := nc.SetDeadline(time.Now().Add(ioTimeout)); err != nil {
		t.Fatal(err)
	}
	if s := <-follower.shares; s != (Share{Processes: 2, MaxOpen: 80}) {
		t.Errorf("share before the first message = %+v, want %+v", s, Share{Processes: 2, MaxOpen: 80})
	}
	messages := goldenMessages(t, "eldest_to_first.txt")
	if len(messages) != len(goldenShares) {
		t.Fatalf("%d golden messages, %d shares", len(messages), len(goldenShares))
	}
	for i, message := range messages {
		if _, err := io.WriteString(nc, message+"\n"); err != nil {
			t.Fatal(err)
		}
		if s := <-follower.shares; s != goldenShares[i] {
			t.Errorf("share after the message %q = %+v, want %+v", message, s, goldenShares[i])
		}
	}
	_ = ln.Close() // the follower must not connect to it again, but become the leader
	go follower.Close()
	if sent, err := io.ReadAll(nc); err != nil || len(sent) > 0 {
		t.Errorf("the follower sent %q, %v, want nothing", sent, err)
	}
	_ = nc.Close()
}
