package store

import (
	"net/url"
	"testing"
	"time"

	"linkpass/internal/config/rollback"
	"linkpass/internal/goldentest"
)

func TestPositionReportGolden(t *testing.T) {
	goldentest.JSON(t, "marks_request.json", rollback.Report{
		ID:          "n1",
		Incarnation: 3,
		Nonce:       18446744073709551557,
		AtStart:     rollback.Position{Term: 4, Index: 5},
		Current:     rollback.Position{Term: 6, Index: 7},
	})
}

func TestRecoveryResultGolden(t *testing.T) {
	goldentest.JSON(t, "recovered.json", RecoveryResult{Version: 8, Hash: "c0ffee", Dropped: []string{"n2"}})
}

// The query parameters of a read, as URLs of the admin API and the search front contain them.
func TestParseReadOptions(t *testing.T) {
	for _, c := range []struct {
		query   string
		want    ReadOptions
		wantErr bool
	}{
		{"", ReadOptions{"linearizable", 5 * time.Second}, false},
		{"read=linearizable", ReadOptions{"linearizable", 5 * time.Second}, false},
		{"read=lease", ReadOptions{"lease", 5 * time.Second}, false},
		{"read=stale", ReadOptions{"stale", 5 * time.Second}, false},
		{"read=stale&max_age=250ms", ReadOptions{"stale", 250 * time.Millisecond}, false},
		{"read=local", ReadOptions{"local", 5 * time.Second}, false},
		{"local=true", ReadOptions{"local", 5 * time.Second}, false},
		{"read=any", ReadOptions{}, true},
		{"read=lease&max_age=1s", ReadOptions{}, true},
		{"read=stale&max_age=0s", ReadOptions{}, true},
	} {
		t.Run(c.query, func(t *testing.T) {
			values, err := url.ParseQuery(c.query)
			if err != nil {
				t.Fatal(err)
			}
			got, err := ParseReadOptions(values)
			if c.wantErr != (err != nil) || !c.wantErr && got != c.want {
				t.Errorf("options = %+v, error = %v; want %+v, error: %t", got, err, c.want, c.wantErr)
			}
		})
	}
}
