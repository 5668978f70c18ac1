package experiment

import (
	"testing"
	"time"
)

// Guards against reports of an earlier start and malformed ones.
func TestPositionReportsAreChecked(t *testing.T) {
	isolate(t)
	w := startCluster(t, 17, 3)
	ask := func(body string) int {
		t.Helper()
		status, _, err := w.call(w.nodes[0], "POST", "/_linkpass/marks", body)
		if err != nil {
			t.Fatal(err)
		}
		return status
	}
	for ask(`{"id":"n1","boot":0}`) != 409 { // until n1's own report has come
		if t.Context().Err() != nil {
			t.Fatal("no report of n1 came")
		}
		time.Sleep(20 * time.Millisecond)
	}
	if status := ask(`{"id":"nobody","boot":7}`); status != 200 {
		t.Errorf("a stranger: %d", status)
	}
	for _, bad := range []string{``, `{}`, `[1]`, `{"id":"n1","boot":-1}`} {
		if status := ask(bad); status != 400 {
			t.Errorf("%s: %d", bad, status)
		}
	}
	c := w.nodes[0].program.Counters()
	if bad, refused := c.Get("position_reports_malformed"), c.Get("position_reports_rejected"); bad != 4 || refused < 1 {
		t.Errorf("%d bad, %d refused", bad, refused)
	}
}
