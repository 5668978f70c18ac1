package counters

import (
	"bytes"
	"log"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

func TestCountersAddUpAndAreListedByName(t *testing.T) {
	s := New()
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 100 {
				s.Add("sent", 2)
			}
		})
	}
	wg.Wait()
	s.Add("answered", 1)
	if got := s.String(); got != "answered=1 sent=1600" {
		t.Errorf("%q", got)
	}
}

// However many bad requests a second come, the log has one line a second for them.
func TestLinesAreBounded(t *testing.T) {
	var out bytes.Buffer
	log.SetOutput(&out)
	defer log.SetOutput(os.Stderr)
	synctest.Test(t, func(t *testing.T) {
		var lines Lines
		for range 1000 { // ten seconds
			lines.Printf("event=bad")
			time.Sleep(10 * time.Millisecond)
		}
		if n := bytes.Count(out.Bytes(), []byte("event=bad")); n <= linesAtOnce || n > linesAtOnce+10 {
			t.Errorf("%d lines", n)
		}
	})
}
