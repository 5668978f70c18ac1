package rollback

import (
	"encoding/json"
	"testing"
)

// Reports are sent to instances of other versions, so their JSON keys must not change.
func TestReportJSONKeysAreStable(t *testing.T) {
	for _, c := range []struct {
		name   string
		report Report
		text   string
	}{
		{"every field", Report{ID: "n1", Incarnation: 2, Nonce: 3, AtStart: Position{Term: 4, Index: 5}, Current: Position{Term: 6, Index: 7}},
			`{"id":"n1","boot":2,"nonce":3,"began":{"term":4,"index":5},"now":{"term":6,"index":7}}`},
		{"zero", Report{}, `{"id":"","boot":0,"nonce":0,"began":{"term":0,"index":0},"now":{"term":0,"index":0}}`},
	} {
		t.Run(c.name, func(t *testing.T) {
			data, err := json.Marshal(c.report)
			if err != nil || string(data) != c.text {
				t.Errorf("encoded as %s, %v; want %s", data, err, c.text)
			}
			var got Report
			if err := json.Unmarshal([]byte(c.text), &got); err != nil || got != c.report {
				t.Errorf("decoded as %+v, %v; want %+v", got, err, c.report)
			}
		})
	}
}
