package dashboard

import (
	"testing"
	"testing/synctest"
	"time"

	"linkpass/internal/adminapi"
	"linkpass/internal/goldentest"
)

// goldenStatus returns a status that has all fields set that the page shows.
func goldenStatus() adminapi.Status {
	return adminapi.Status{Name: "n0", Program: "v1", State: "serving", Core: "busy", InFlight: 7, ServersKnown: 3, ServersExcluded: 1,
		Bodies: &adminapi.BodyStatus{Stored: 12}, Store: &adminapi.StoreStatus{ID: "n0", Leader: "n1", Revision: 42}}
}

func TestPageMatchesGolden(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, err := NewSeries()
		if err != nil {
			t.Fatal(err)
		}
		defer s.Close()
		for i := range int64(5) {
			classes := []adminapi.ClassStatus{{Name: "lookup & <co>", Served: i * i * 3, Rejected: 9 - 3*i, Failed: i}, {Name: "idle"}}
			if err := s.Add(time.Now(), classes); err != nil {
				t.Fatal(err)
			}
			time.Sleep(SampleInterval)
		}
		source := fakeSource{status: goldenStatus(), servers: []adminapi.Server{
			{Name: "<b>", State: "in_service", InFlight: 3, MedianMS: 12.34, Health: map[string]float64{"c": 0.25, "d": 0.75}, WarmingUp: true},
			{Name: "s-02", State: "draining", Excluded: "ejected", Health: map[string]float64{"c": 1}},
		}}
		for name, source := range map[string]Source{
			"page.html":             source,
			"page_unreachable.html": fakeSource{err: adminapi.ErrUnreachable},
		} {
			_, body := getPage(&Handler{Source: source, Series: s, Now: time.Now}, "127.0.0.1:9302")
			goldentest.Bytes(t, name, []byte(body))
		}
	})
}
