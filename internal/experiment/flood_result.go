package experiment

import (
	"fmt"
	"strings"
	"time"
)

// floodResult is what a run with a flood showed of one coordinator. Memory is resident, in bytes.
type floodResult struct {
	scenario     string
	node         int
	limits       processLimits
	beganAt      time.Time // of the flood
	sound        []*SoundReport
	memoryBefore int64
	memoryAfter  int64 // at the flood's end
	memoryLater  int64 // after the quiet time
	peakMemory   int64
	ended        bool // the process ended by itself
	counters     map[string]int64
}

// keepsRules reports whether the process lived, kept its memory limit, gave memory back, and each query of a sound client
// was answered in time.
func (r *floodResult) keepsRules() bool {
	limit := int64(r.limits.memoryMB) << 20
	for _, sound := range r.sound {
		if sound.Late > 0 || sound.Closed > 0 {
			return false
		}
	}
	return !r.ended && r.peakMemory <= limit && r.memoryLater <= limit/2
}

func (r *floodResult) String() string {
	const mb = 1 << 20
	var b strings.Builder
	fmt.Fprintf(&b, "flood %s n%d: kept=%v memory before=%dMB after=%dMB later=%dMB peak=%dMB received=%d rejected=%d overdue=%d slow_steps=%d late_steps=%d",
		r.scenario, r.node, r.keepsRules(), r.memoryBefore/mb, r.memoryAfter/mb, r.memoryLater/mb, r.peakMemory/mb,
		r.counters["queries_received"], r.counters["queries_rejected"], r.counters["queries_overdue"],
		r.counters["core_steps_slow"], r.counters["core_steps_late"])
	for i, sound := range r.sound {
		fmt.Fprintf(&b, "\n  %s: %v", []string{"kept ", "fresh"}[i], sound)
		for _, m := range sound.Missed {
			fmt.Fprintf(&b, "\n    %s sent %.2fs into the flood, status %d after %dms", m.Name, m.SentAt.Sub(r.beganAt).Seconds(), m.Status, m.Took)
		}
	}
	return b.String()
}
