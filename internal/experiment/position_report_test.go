package experiment

import (
	"testing"
	"time"
)

// Guards against accepting a position report that is malformed or that an earlier start of the instance sent.
func TestPositionReportRejectsEarlierStartAndMalformed(t *testing.T) {
	isolate(t)
	w := startCluster(t, 17, 3)
	post := func(body string) int {
		t.Helper()
		status, _, err := w.call(w.nodes[0], "POST", "/_linkpass/marks", body)
		if err != nil {
			t.Fatal(err)
		}
		return status
	}
	for post(`{"id":"n1","boot":0}`) != 409 { // until the report of the running n1 has arrived
		if t.Context().Err() != nil {
			t.Fatal("no position report of n1 arrived")
		}
		time.Sleep(20 * time.Millisecond)
	}
	if status := post(`{"id":"nobody","boot":7}`); status != 200 {
		t.Errorf("report of an unknown instance: status = %d, want 200", status)
	}
	for _, bad := range []string{``, `{}`, `[1]`, `{"id":"n1","boot":-1}`} {
		if status := post(bad); status != 400 {
			t.Errorf("report %q: status = %d, want 400", bad, status)
		}
	}
	c := w.nodes[0].program.Counters()
	if malformed, rejected := c.Get("position_reports_malformed"), c.Get("position_reports_rejected"); malformed != 4 || rejected < 1 {
		t.Errorf("position_reports_malformed = %d, want 4; position_reports_rejected = %d, want at least 1", malformed, rejected)
	}
}
