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

	_ "linkpass/internal/seeded"
)

// Whichever part fails to open, those before it are closed in reverse order and nothing else happens; if none
// fails, all end in reverse order. A part runs only while all that it needs are open.
func TestAllOrNothingInReverse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "parts")
		fails := rapid.IntRange(0, n).Draw(t, "fails") // n: none
		firstLate := rapid.IntRange(0, n).Draw(t, "first late")
		var log, want []string
		var list []Component
		for i := range n {
			name := fmt.Sprint("p", i)
			p := Component{Name: name, Deferred: i >= firstLate}
			for j := range i {
				if rapid.Bool().Draw(t, "needs") {
					p.DependsOn = append(p.DependsOn, fmt.Sprint("p", j))
				}
			}
			p.Open = func() error {
				if i == fails {
					return errors.New("no room")
				}
				log = append(log, "+"+name)
				return nil
			}
			p.Close = func() error { log = append(log, "-"+name); return nil }
			list = append(list, p)
		}
		l, err := New(list...)
		if err != nil {
			t.Fatal(err)
		}
		err = l.Open(false)
		if err == nil {
			err = l.Open(true)
		}
		stop := l.Stop()
		opened := min(fails, n)
		for i := range opened {
			want = append(want, fmt.Sprint("+p", i))
		}
		for i := opened - 1; i >= 0; i-- {
			want = append(want, fmt.Sprint("-p", i))
		}
		if !slices.Equal(log, want) || stop != nil || (err != nil) != (fails < n) ||
			err != nil && err.Error() != fmt.Sprintf("p%d: no room", fails) {
			t.Fatalf("%v, want %v; %v %v", log, want, err, stop)
		}
	})
}

// One that does not end is named and left behind; the others end all the same.
func TestAStuckPartHoldsUpNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ended := 0
		leave := make(chan struct{})
		untilDone := func(ctx context.Context) { <-ctx.Done(); ended++ }
		l, err := New(Component{Name: "a", Run: untilDone}, Component{Name: "b", Run: func(context.Context) { <-leave }},
			Component{Name: "c", Close: func() error { <-leave; return nil }}, Component{Name: "late", DependsOn: []string{"a"}, Deferred: true, Run: untilDone})
		if err != nil {
			t.Fatal(err)
		}
		if err := l.Open(false); err != nil {
			t.Fatal(err)
		}
		l.Run(context.Background())
		l.OpenDeferred(func(name string, err error) { t.Error(name, err) }) // runs at once, as the others do
		err = l.Stop()
		if !errors.Is(err, ErrStopTimeout) || !strings.Contains(err.Error(), "b: did not") || !strings.Contains(err.Error(), "c: did not") || ended != 2 {
			t.Errorf("%v, %d ended", err, ended)
		}
		close(leave)
	})
}

// A list that cannot be put in order is refused before anything starts.
func TestOrdersThatCannotBe(t *testing.T) {
	for _, list := range [][]Component{{{Name: "a", DependsOn: []string{"b"}}, {Name: "b"}}, {{Name: "a"}, {Name: "a"}}, {{Name: "a", DependsOn: []string{"a"}}}} {
		if _, err := New(list...); err == nil {
			t.Errorf("%+v was taken", list)
		}
	}
	l, err := New(Component{Name: "a", Deferred: true}, Component{Name: "b", DependsOn: []string{"a"}})
	if err != nil {
		t.Fatal(err)
	}
	if err := l.Open(false); err == nil {
		t.Error("one opened without what it needs")
	}
	l, err = New(Component{Name: "a"}, Component{Name: "b", Deferred: true, Open: func() error { return errors.New("taken") }}, Component{Name: "c", Deferred: true})
	if err != nil {
		t.Fatal(err)
	}
	failed := ""
	l.OpenDeferred(func(name string, err error) { failed += name + err.Error() })
	if failed != "btaken" || !l.parts[2].open {
		t.Errorf("%q, c open: %v", failed, l.parts[2].open)
	}
}
