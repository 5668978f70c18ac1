package adminapi

import (
	"context"
	"encoding/json"
	"net"
	"reflect"
	"strings"
	"testing"
	"time"

	"linkpass/internal/goldentest"
	"linkpass/internal/http1"
	"linkpass/internal/searchconfig"
	"linkpass/internal/store"
)

const (
	storeTimeScale     = 0.2              // shortens Raft's timeouts; no check depends on them
	leaderTimeout      = 30 * time.Second // for the election of the only member
	leaderPollInterval = 5 * time.Millisecond
)

// openStore opens a store with one member and waits until this member is the leader.
func openStore(t *testing.T, initial *searchconfig.Config) *store.Store {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s, err := store.Open(store.Config{
		ID:              "a",
		Dir:             t.TempDir(),
		TimeScale:       storeTimeScale,
		Listener:        ln,
		InitialSettings: initial,
		Members:         []store.Member{{ID: "a", Raft: ln.Addr().String(), HTTP: "a"}},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := s.Close(); err != nil {
			t.Error(err)
		}
	})
	deadline := time.Now().Add(leaderTimeout)
	for !s.IsLeader() {
		if time.Now().After(deadline) {
			t.Fatalf("no leader was elected within %s", leaderTimeout)
		}
		time.Sleep(leaderPollInterval)
	}
	return s
}

// Reads the document, takes a backup and restores it, with a store of one member.
func TestHandlerStoreDocumentGolden(t *testing.T) {
	initial, err := searchconfig.Parse([]byte(goldenDocument))
	if err != nil {
		t.Fatal(err)
	}
	handler := Handler{&fakeCoordinator{store: openStore(t, initial)}}
	for _, target := range []string{
		"/v1/store/document",
		"/v1/store/document?read=local",
		"/v1/store/document?local=true",
		"/v1/store/document?read=lease",
	} {
		res := serve(handler, "GET", target, nil)
		if res.Status != 200 {
			t.Errorf("%s: status = %d, want 200", target, res.Status)
		}
		goldentest.Bytes(t, "document_response.json", res.Body)
	}
	requireBackup(t, handler)
	res := serve(handler, "PUT", "/v1/store/document", goldentest.Read(t, "backup.json"))
	if res.Status != 200 {
		t.Errorf("restore: status = %d, want 200", res.Status)
	}
	goldentest.Bytes(t, "restore_response.json", res.Body)
	document, err := ReadBackup(goldentest.Read(t, "backup.json"))
	if err != nil || !reflect.DeepEqual(document, initial) {
		t.Errorf("the golden backup is %+v, %v; want %+v", document, err, initial)
	}
}

// requireBackup checks that a backup equals the golden backup except for the time at which it was taken.
func requireBackup(t *testing.T, handler Handler) {
	t.Helper()
	res := serve(handler, "GET", "/v1/store/backup", nil)
	var backup Backup
	if err := json.Unmarshal(res.Body, &backup); err != nil || res.Status != 200 {
		t.Fatalf("backup: status = %d %s, error %v; want 200 and a backup", res.Status, res.Body, err)
	}
	taken, err := json.Marshal(backup.Taken)
	if err != nil {
		t.Fatal(err)
	}
	goldenTaken, err := json.Marshal(goldenBackup.Taken)
	if err != nil {
		t.Fatal(err)
	}
	body := strings.Replace(string(res.Body), string(taken), string(goldenTaken), 1)
	goldentest.Bytes(t, "backup.json", []byte(body))
}

// When a client closes its connection, the context of its request is canceled. A read must then fail, but a change must
// be completed.
func TestHandlerCompletesChangeAfterClientDisconnect(t *testing.T) {
	initial, err := searchconfig.Parse([]byte(goldenDocument))
	if err != nil {
		t.Fatal(err)
	}
	coordinator := &fakeCoordinator{store: openStore(t, initial)}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for _, c := range []struct {
		method, target, body string
		status               int
	}{
		{"GET", "/v1/store/document", "", 503},
		{"GET", "/v1/store/backup", "", 503},
		{"PUT", "/v1/store/document", "backup.json", 200},
		{"PUT", "/v1/servers/order", "server_order_request.json", 200},
		{"PUT", "/v1/store/members", "member_order_request.json", 200},
	} {
		t.Run(c.method+" "+c.target, func(t *testing.T) {
			request := &http1.Request{Method: c.method, Path: c.target, Body: readRequestBody(t, c.body)}
			res := Handler{coordinator}.Serve(ctx, 0, request)
			if res.Status != c.status {
				t.Errorf("status = %d %s, want %d", res.Status, res.Body, c.status)
			}
		})
	}
	if coordinator.canceled {
		t.Error("a change was called with a canceled context")
	}
}
