package metrics

import (
	"sync"
	"testing"
)

func TestCountersSumConcurrentAdds(t *testing.T) {
	s := NewCounters()
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
		t.Errorf("String() = %q, want answered=1 sent=1600", got)
	}
}
