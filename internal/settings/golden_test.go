package settings

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"linkpass/internal/routing"
)

// readGolden returns the contents of a golden file.
func readGolden(t *testing.T, file string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", file))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func TestPlatformSettingsGolden(t *testing.T) {
	set, program, err := ParseJSON(readGolden(t, "platform.json"))
	if err != nil {
		t.Fatal(err)
	}
	if want := goldenSettings(); !reflect.DeepEqual(set, want) {
		t.Errorf("settings\ngot  %+v\nwant %+v", set, want)
	}
	if want := goldenProgramSettings(); !reflect.DeepEqual(program, want) {
		t.Errorf("program settings\ngot  %+v\nwant %+v", program, want)
	}
}

func TestSimulatorSettingsGolden(t *testing.T) {
	set, err := ParseText(string(readGolden(t, "simulator.txt")))
	want := goldenSettings()
	want.MaxWriteDelay = 0 // the simulator has no connections that could delay a write
	if err != nil || !reflect.DeepEqual(set, want) {
		t.Errorf("got  %+v, %v\nwant %+v", set, err, want)
	}
}

// goldenVariant replaces the text old of the golden object with new; change is the effect on the settings.
type goldenVariant struct {
	name, old, new string
	change         func(*routing.Settings, *ProgramSettings)
}

// goldenVariants returns the variants. tenants is the text of the golden object's tenants.
func goldenVariants(tenants string) []goldenVariant {
	withoutTenants := func(s *routing.Settings, h *ProgramSettings) { s.Tenants, h.Tenants = nil, nil }
	return []goldenVariant{
		{"nominal weights", `"rough"`, `"nominal"`, func(*routing.Settings, *ProgramSettings) {}},
		{"weights without sizes", `"rough"`, `"none"`, func(s *routing.Settings, _ *ProgramSettings) { s.WeightsAreCapacities = false }},
		{"polled list", `"subscribe"`, `"poll"`, func(s *routing.Settings, _ *ProgramSettings) { s.SubscribesToEndpoints = false }},
		{"no tenants", tenants, `"tenants": [],`, withoutTenants},
		{"tenants that are no objects", tenants,
			`"tenants": ["none"], "tenants.count": 1, "tenants.0.name": "north",`, withoutTenants},
		{"no report", `["cpu", "active", "novelty", "waiting", "avg_ms", "rps", "err_rps"]`, `[]`,
			func(s *routing.Settings, h *ProgramSettings) { s.ReportFields, h.ReportNames = nil, nil }},
		{"no weights of classes", `"class_need"`, `"old_class_need"`, func(s *routing.Settings, _ *ProgramSettings) {
			for i := range s.Classes {
				s.Classes[i].RequiredWeight = 1
			}
		}},
		{"null for a number", `"max_open": 5000`, `"max_open": null`,
			func(s *routing.Settings, _ *ProgramSettings) { s.MaxOpen = 0 }},
	}
}

// A change of one key of the golden object changes only the settings that depend on it.
func TestPlatformSettingsGoldenVariants(t *testing.T) {
	golden := string(readGolden(t, "platform.json"))
	tenants := golden[strings.Index(golden, `"tenants":`):strings.Index(golden, `  "tick"`)]
	for _, c := range goldenVariants(tenants) {
		t.Run(c.name, func(t *testing.T) {
			if strings.Count(golden, c.old) != 1 {
				t.Fatalf("the golden object has %q %d times, want once", c.old, strings.Count(golden, c.old))
			}
			set, program, err := ParseJSON([]byte(strings.Replace(golden, c.old, c.new, 1)))
			wantSet, wantProgram := goldenSettings(), goldenProgramSettings()
			c.change(&wantSet, &wantProgram)
			if err != nil || !reflect.DeepEqual(set, wantSet) || !reflect.DeepEqual(program, wantProgram) {
				t.Errorf("got  %+v %+v, %v\nwant %+v %+v", set, program, err, wantSet, wantProgram)
			}
		})
	}
}
