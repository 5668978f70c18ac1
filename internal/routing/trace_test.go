package routing_test

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/cespare/xxhash/v2"
)

var (
	updateTrace = flag.Bool("update", false, "rewrite the golden files under testdata/trace")
	traceText   = flag.String("trace-text", "", "directory to write the full traces to, to compare two commits")
)

// turnsPerHash is the number of turns that one line of a golden file covers.
const turnsPerHash = 50

// tracedRun is the trace of one variant, divided into ranges of turns.
type tracedRun struct {
	hashes  []string
	texts   [][]byte
	counts  map[string]int
	actions int
}

// trace plays all phases with the settings of a variant.
func trace(t *testing.T, v variant) tracedRun {
	t.Helper()
	s := readSite(t, v.site)
	set := s.settings()
	v.change(&set)
	w, err := newWorld(s, set, xxhash.Sum64String(v.name))
	if err != nil {
		t.Fatal(err)
	}
	out := tracedRun{counts: w.counts}
	w.schedule(w.now, func() []event { return w.endpointUpdate("cached", w.readyServers()...) })
	turn := 0
	for _, p := range phases {
		w.startPhase(p)
		for range p.turns {
			w.play(turn)
			turn++
			if turn%turnsPerHash == 0 {
				out.endRange(w, turn)
			}
		}
	}
	out.endRange(w, turn)
	for _, word := range []string{"send", "cancel", "reject", "fail", "answer", "timer", "health-check", "subscribe"} {
		out.actions += w.counts["action "+word]
	}
	return out
}

// endRange ends a range of turns: it stores the hash and the text of the trace since the end of the range before.
func (x *tracedRun) endRange(w *world, turn int) {
	line := fmt.Sprintf("turns before %d: %016x", turn, xxhash.Sum64(w.text))
	x.hashes = append(x.hashes, line)
	x.texts = append(x.texts, w.text)
	w.text = make([]byte, 0, len(w.text))
}

// compare reports the first range of turns in which the trace differs from its golden file.
func (x *tracedRun) compare(t *testing.T, file string) {
	t.Helper()
	golden, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	want := strings.Split(strings.TrimSpace(string(golden)), "\n")
	if len(want) != len(x.hashes) {
		t.Errorf("%d ranges of turns, want %d", len(x.hashes), len(want))
	}
	for i, line := range x.hashes {
		if i < len(want) && line != want[i] {
			t.Errorf("actions differ from %s:\ngot  %s\nwant %s", file, line, want[i])
			t.Logf("first lines of this range (-trace-text writes all of it):\n%s", firstLines(x.texts[i], 40))
			return
		}
	}
}

func firstLines(text []byte, count int) []byte {
	lines := bytes.SplitAfterN(text, []byte("\n"), count+1)
	return bytes.Join(lines[:min(count, len(lines))], nil)
}

func (x *tracedRun) update(t *testing.T, file string) {
	t.Helper()
	writeFile(t, file, []byte(strings.Join(x.hashes, "\n")+"\n"))
}

func writeFile(t *testing.T, file string, data []byte) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(file), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, data, 0o644); err != nil {
		t.Fatal(err)
	}
}

// requiredCounts lists what must occur at least once over all variants. Guards against a trace that no longer covers
// some kind of event or action.
var requiredCounts = strings.Fields(`
	action:send action:cancel action:reject action:fail action:answer action:timer action:health-check action:subscribe
	action:belief action:listed
	event:endpoint-update event:arrival event:stream-started event:attempt-result event:client-disconnected event:timer-fired event:health-check-result event:capacity-change
	event:warm-up event:shard-placement event:parts-replaced event:body-evicted event:gossip-message
	outcome:ok outcome:errored outcome:full outcome:timed-out outcome:connect-failed outcome:reset outcome:cancelled
	outcome:moot outcome:stale
	probed:ok probed:timed-out probed:connect-failed
	list:delta list:full list:cached list:failed
	listed:ready listed:draining listed:gone listed:cold`)

// minActions is the least number of actions in the trace of a variant.
const minActions = 2500

// Guards against unintended changes of decisions: the same seeded events must yield the same actions at the same times
// as when the golden files were written.
func TestDecisionsMatchGoldenTrace(t *testing.T) {
	files, err := filepath.Glob(filepath.Join("testdata", "trace", "*.txt"))
	if err != nil || len(files) != len(variants) && !*updateTrace {
		t.Errorf("%d golden files for %d variants, want one for each; error %v", len(files), len(variants), err)
	}
	var total totalCounts
	t.Run("variant", func(t *testing.T) {
		for _, v := range variants {
			t.Run(v.name, func(t *testing.T) {
				t.Parallel()
				total.add(checkVariant(t, v))
			})
		}
	})
	if total.played < len(variants) {
		return // a -run pattern selected only some variants
	}
	for _, word := range requiredCounts {
		if total.counts[strings.Replace(word, ":", " ", 1)] == 0 {
			t.Errorf("%s never occurred", word)
		}
	}
}

// totalCounts sums the counts of all variants, which run in parallel.
type totalCounts struct {
	lock   sync.Mutex
	played int
	counts map[string]int
}

func (y *totalCounts) add(counts map[string]int) {
	y.lock.Lock()
	defer y.lock.Unlock()
	if y.counts == nil {
		y.counts = map[string]int{}
	}
	y.played++
	for word, n := range counts {
		y.counts[word] += n
	}
}

// checkVariant plays a variant, compares it with its golden file and returns its counts.
func checkVariant(t *testing.T, v variant) map[string]int {
	t.Helper()
	got := trace(t, v)
	file := filepath.Join("testdata", "trace", v.name+".txt")
	if *updateTrace {
		got.update(t, file)
	}
	if *traceText != "" {
		writeFile(t, filepath.Join(*traceText, v.name+".txt"), bytes.Join(got.texts, nil))
	}
	got.compare(t, file)
	if got.actions < minActions {
		t.Errorf("%d actions, want at least %d", got.actions, minActions)
	}
	return got.counts
}
