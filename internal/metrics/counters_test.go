package metrics

import (
	"sync"
	"testing"
)

func TestCountersSumConcurrentAdds(t *testing.T) {
	counters := NewCounters()
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 100 {
				counters.Add("sent", 2)
			}
		})
	}
	wg.Wait()
	counters.Add("answered", 1)
	if got := counters.String(); got != "answered=1 sent=1600" {
		t.Errorf("String() = %q, want answered=1 sent=1600", got)
	}
}
