package settings

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "linkpass/internal/testrand"
)

const settingsJSON = `{"az":1,"bounds":{"connect_timeout":250.0,"keepalive":30000.0,"max_attempts":3,"max_streams":32,"probes":true},
"dcs":["ebene","port louis"],"kinds":["std-2core"],"peers_total":3,"tenants":[],"tick":5.0,
"extra":{"slabs":18,"places":6,"in_a_row":1,"class_need":[1.0,0.5],"parts_a_call":1},
"report":{"fields":["active","avg_ms","waiting"],"how":"inline"},
"request_classes":[{"aim":2000.0,"hard_limit":5000.0,"idempotency":"free","name":"league-table"},
{"aim":1000.0,"hard_limit":2500.0,"idempotency":"guarded","name":"team-lookup"}]}`

// Load reports on the wire use the value names of the settings (active, avg_ms, waiting), not those of the protocol's
// example. With any other names every report would be dropped, and the router would select servers without reports.
func TestParseJSONKeepsReportNames(t *testing.T) {
	set, program, err := ParseJSON([]byte(settingsJSON))
	if err != nil {
		t.Fatal(err)
	}
	if want := []string{"active", "avg_ms", "waiting"}; !slices.Equal(program.ReportNames, want) {
		t.Errorf("ReportNames = %v, want %v", program.ReportNames, want)
	}
	if len(set.ReportFields) != 3 || set.Tick != 5*time.Millisecond || set.Zone != 1 || !set.HealthChecks ||
		set.Classes[1].RequiredWeight != 0.5 || set.Classes[1].Deadline != 2500*time.Millisecond || len(set.Tenants) != 0 {
		t.Errorf("router's settings = %+v, want those of the object", set)
	}
	if !slices.Equal(program.Zones, []string{"ebene", "port_louis"}) ||
		program.Classes[1] != "team-lookup" || program.MaxStreams != 32 {
		t.Errorf("program's settings = %+v, want those of the object", program)
	}
}

func TestParseNeverPanicsOnInvalidInput(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := []byte(rapid.String().Draw(t, "garbage"))
		if rapid.Bool().Draw(t, "cut") {
			data = []byte(settingsJSON[:rapid.IntRange(0, len(settingsJSON)-1).Draw(t, "at")])
			if _, _, err := ParseJSON(data); err == nil {
				t.Fatalf("ParseJSON accepted the truncated settings %q", data)
			}
		}
		_, _, _ = ParseJSON(data)
		_, _ = ParseText(string(data))
	})
}
