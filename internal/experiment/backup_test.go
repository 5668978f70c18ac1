package experiment

import (
	"context"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"linkpass/internal/adminapi"
	"linkpass/internal/http1"
)

// Guards against a backup that mixes two revisions because settings are written while it is taken, and against a
// restore that changes more than settings: members and shard maps must stay.
func TestBackupDuringWritesRestoresSettingsIntoAnotherCluster(t *testing.T) {
	isolate(t)
	source, target := startCluster(t, 11, 3), startCluster(t, 12, 1)
	stop, written := make(chan struct{}), make(chan int)
	go writeSettings(t, source, stop, written)
	last, revision := takeBackups(t, source)
	close(stop)
	<-written
	before, members := target.nodes[0].program.ShardMaps(), fmt.Sprint(target.nodes[0].program.Store().Members())
	if res := callAdmin(target.nodes[0], "PUT", "/store/document", last); res.Status != 200 {
		t.Fatalf("PUT /store/document: status = %d, want 200, body %s", res.Status, res.Body)
	}
	doc, err := adminapi.ReadBackup(last)
	if err != nil {
		t.Fatal(err)
	}
	restored := target.nodes[0].program.Store().Settings()
	if restored.Search.MaxResultWindow != doc.Search.MaxResultWindow || revision < 2 {
		t.Errorf("restored search settings = %+v, want %+v of the backup, whose revision is %d (want at least 2)", restored.Search, doc.Search, revision)
	}
	if after := target.nodes[0].program.ShardMaps(); !reflect.DeepEqual(before, after) || fmt.Sprint(target.nodes[0].program.Store().Members()) != members {
		t.Error("the restore changed shard maps or members, want both unchanged")
	}
	if status, body, err := target.call(target.nodes[0], "POST", "/players/_search", `{"size":1}`); err != nil || !strings.Contains(string(body), `"failed":0`) {
		t.Errorf("search after the restore: status %d, body %s, error %v, want \"failed\":0", status, body, err)
	}
}

func callAdmin(n *node, method, path string, body []byte) *http1.Response {
	return adminapi.Handler{Coordinator: n.program}.Serve(context.Background(), 0, &http1.Request{Method: method, Path: "/v1" + path, Body: body})
}

// writeSettings changes two settings together in a loop until stop is closed, then sends the number of the next change.
func writeSettings(t *testing.T, w *world, stop <-chan struct{}, written chan<- int) {
	for i := 1; ; i++ {
		select {
		case <-stop:
			written <- i
			return
		default:
		}
		// Both settings change in one call, so a backup that has only one of the new values is torn.
		text := fmt.Sprintf(`{"persistent":{"search.max_result_window":%d,"search.default_search_timeout":"%dms"}}`, 1000+i, 1000+i)
		if status, body, err := w.call(w.nodes[i%3], "PUT", "/_cluster/settings", text); err != nil || status != 200 {
			t.Errorf("change %d of the settings: status = %d, want 200, body %s, error %v", i, status, body, err)
		}
	}
}

// takeBackups takes backups at the leader and returns the last one and its revision. It fails the test if a backup is
// torn or has a lower revision than the backup before.
func takeBackups(t *testing.T, w *world) (last []byte, revision uint64) {
	t.Helper()
	for taken := 0; taken < 20; {
		res := callAdmin(w.nodes[taken%3], "GET", "/store/backup", nil)
		if res.Status != 200 { // not the leader: try the next coordinator
			taken = (taken + 1) % 3
			continue
		}
		doc, err := adminapi.ReadBackup(res.Body)
		if err != nil {
			t.Fatal(err)
		}
		if want := fmt.Sprintf("%dms", doc.Search.MaxResultWindow); doc.Search.Timeout != "" && doc.Search.Timeout != want || doc.Revision < revision {
			t.Fatalf("torn or older backup: search settings %+v, want timeout %s; revision %d, want at least %d", doc.Search, want, doc.Revision, revision)
		}
		last, revision = res.Body, doc.Revision
		taken += 3
	}
	return last, revision
}
