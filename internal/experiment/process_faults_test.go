package experiment

import (
	"testing"
	"time"
)

const faultsTime = 20 * time.Second

// Guards against processes that end by themselves, pass their limits or lose queries under hostile clients, signals,
// stalls, resets, failing calls and reloaded limits (report 9bf5e0). The long run is linkpass-lab run faults.
func TestProcessSurvivesFaults(t *testing.T) {
	isolate(t)
	result, err := runFaults(builtPrograms(t), 2, faultsTime)
	if err != nil {
		t.Fatal(err)
	}
	t.Log(result)
	if !result.keepsRules() {
		for _, missed := range result.sound.missed {
			t.Logf("%s sent %s: status %d after %v", missed.name, missed.sentAt.Format("15:04:05.000"), missed.status, missed.took)
		}
		t.Errorf("rules broken: %v", result)
	}
}
