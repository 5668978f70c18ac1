package lifecycle

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"

	"pgregory.net/rapid"

	_ "linkpass/internal/testrand"
)

// If a component fails to start, those started before it are stopped in reverse order and no other is started. If none
// fails, Stop stops all in reverse order.
func TestStartRollsBackAndStopReverses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "components")
		failing := rapid.IntRange(0, n).Draw(t, "fails") // the index of the component; n: none
		firstDeferred := rapid.IntRange(0, n).Draw(t, "first deferred")
		var log, want []string
		var components []Component
		for i := range n {
			name := fmt.Sprint("p", i)
			p := Component{Name: name, Deferred: i >= firstDeferred}
			for j := range i {
				if rapid.Bool().Draw(t, "depends on") {
					p.DependsOn = append(p.DependsOn, fmt.Sprint("p", j))
				}
			}
			p.Start = func() error {
				if i == failing {
					return errors.New("no room")
				}
				log = append(log, "+"+name)
				return nil
			}
			p.Stop = func() error { log = append(log, "-"+name); return nil }
			components = append(components, p)
		}
		g, err := New(components...)
		if err != nil {
			t.Fatal(err)
		}
		err = g.Start(false)
		if err == nil {
			err = g.Start(true)
		}
		stopErr := g.Stop()
		startedCount := min(failing, n)
		for i := range startedCount {
			want = append(want, fmt.Sprint("+p", i))
		}
		for i := startedCount - 1; i >= 0; i-- {
			want = append(want, fmt.Sprint("-p", i))
		}
		if !slices.Equal(log, want) || stopErr != nil || (err != nil) != (failing < n) ||
			err != nil && err.Error() != fmt.Sprintf("p%d: no room", failing) {
			t.Fatalf("starts and stops = %v, want %v; Start error = %v with p%d of %d components failing; "+
				"Stop error = %v, want nil", log, want, err, failing, n, stopErr)
		}
	})
}

// A component that does not stop in time is named in the error and abandoned. The others are stopped nevertheless.
func TestStopTimeoutDoesNotBlockOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ended := 0
		release := make(chan struct{})
		untilDone := func(ctx context.Context) { <-ctx.Done(); ended++ }
		g, err := New(
			Component{Name: "a", Run: untilDone},
			Component{Name: "b", Run: func(context.Context) { <-release }},
			Component{Name: "c", Stop: func() error { <-release; return nil }},
			Component{Name: "late", DependsOn: []string{"a"}, Deferred: true, Run: untilDone},
		)
		if err != nil {
			t.Fatal(err)
		}
		if err := g.Start(false); err != nil {
			t.Fatal(err)
		}
		g.Run(context.Background())
		g.StartDeferred(func(name string, err error) { t.Error(name, err) }) // runs at once: the group is running
		err = g.Stop()
		if !errors.Is(err, ErrStopTimeout) || !strings.Contains(err.Error(), "b: did not") || !strings.Contains(err.Error(), "c: did not") || ended != 2 {
			t.Errorf("Stop error = %v, want ErrStopTimeout with b and c; %d Runs ended, want 2", err, ended)
		}
		close(release)
	})
}

// New rejects a dependency that is missing or does not precede its dependent, and a duplicate name. Start rejects a
// dependency that is not started, and a failed deferred component does not prevent the next one from starting.
func TestInvalidOrderIsRejected(t *testing.T) {
	for _, list := range [][]Component{
		{{Name: "a", DependsOn: []string{"b"}}, {Name: "b"}},
		{{Name: "a"}, {Name: "a"}},
		{{Name: "a", DependsOn: []string{"a"}}},
	} {
		if _, err := New(list...); err == nil {
			t.Errorf("New accepted %+v, want an error", list)
		}
	}
	g, err := New(Component{Name: "a", Deferred: true}, Component{Name: "b", DependsOn: []string{"a"}})
	if err != nil {
		t.Fatal(err)
	}
	if err := g.Start(false); err == nil {
		t.Error("a component started without its dependency, want an error")
	}
	g, err = New(
		Component{Name: "a"},
		Component{Name: "b", Deferred: true, Start: func() error { return errors.New("taken") }},
		Component{Name: "c", Deferred: true},
	)
	if err != nil {
		t.Fatal(err)
	}
	failed := ""
	g.StartDeferred(func(name string, err error) { failed += name + err.Error() })
	if failed != "btaken" || !g.components[2].started {
		t.Errorf("failures = %q, want %q; c started = %v, want true", failed, "btaken", g.components[2].started)
	}
}
