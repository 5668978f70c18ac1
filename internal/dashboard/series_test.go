package dashboard

import (
	"testing"
	"testing/synctest"
	"time"

	"linkpass/internal/adminapi"
)

func TestSeriesReturnsRatesWithinWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, err := NewSeries()
		if err != nil {
			t.Fatal(err)
		}
		served := int64(1000) // counted before the first sample, so no rate includes it
		for range 2000 {
			if err := s.Add(time.Now(), []adminapi.ClassStatus{{Name: "c", Served: served}}); err != nil {
				t.Fatal(err)
			}
			served += 10
			time.Sleep(SampleInterval)
		}
		synctest.Wait()
		got, err := s.rates(time.Now(), "c", "served")
		if n := len(got); err != nil || n < int(Window/SampleInterval)-1 || n > int(Window/SampleInterval)+1 {
			t.Fatalf("got %d samples, want %d, one more or one less; error %v", n, Window/SampleInterval, err)
		}
		for _, p := range got {
			if p.rate != 5 {
				t.Fatalf("got the point %+v, want rate 5", p)
			}
		}
		old, err := s.rates(time.Now().Add(-3*Window), "c", "served")
		if err != nil || len(old) > 0 {
			t.Errorf("got %d samples older than the retention, want 0; error %v", len(old), err)
		}
		before := time.Now().Add(-time.Hour) // the clock was set back
		if err := s.Add(before, []adminapi.ClassStatus{{Name: "c", Served: served}}); err != nil {
			t.Errorf("Add after the clock was set back: %v", err)
		}
		if err := s.Close(); err != nil {
			t.Errorf("Close: %v", err)
		}
	})
}
