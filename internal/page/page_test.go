package page

import (
	"context"
	"encoding/xml"
	"errors"
	"io"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"linkpass/internal/catalog"
	"linkpass/internal/control"
	"linkpass/internal/http1"
)

type fake struct {
	servers []control.Server
	err     error
}

func (f fake) Status() control.Status {
	return control.Status{Name: "<b>n0</b>", State: "serving", Core: "ok", Classes: []control.ClassStatus{{Name: "lookup & <co>"}}}
}
func (f fake) Servers() ([]control.Server, error) { return f.servers, f.err }

// settings has an index whose slices can move, with an open plan.
func settings(t *testing.T) *catalog.Catalog {
	c, err := catalog.Parse([]byte(`{"indices":{"players":{"class":"lookup","spread":{"slices":4,"sets":[["a","\u003cscript\u003e"],["c"]]}}},"servers":{}}`))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// What is served is a rate between two samples, over the window alone, and what is older does not stay in memory.
func TestRatesOverTheWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, err := NewSeries()
		if err != nil {
			t.Fatal(err)
		}
		served := int64(1000) // before the page was there: no rate
		for range 2000 {
			if err := s.Add(time.Now(), []control.ClassStatus{{Name: "c", Served: served}}); err != nil {
				t.Fatal(err)
			}
			served += 10
			time.Sleep(Every)
		}
		synctest.Wait()
		got, err := s.rates(time.Now(), "c", "served")
		if n := len(got); err != nil || n < int(Window/Every)-1 || n > int(Window/Every)+1 {
			t.Fatalf("%d samples of %d: %v", n, Window/Every, err)
		}
		for _, p := range got {
			if p.rate != 5 {
				t.Fatalf("%+v", p)
			}
		}
		old, err := s.rates(time.Now().Add(-3*Window), "c", "served")
		if err != nil || len(old) > 0 {
			t.Errorf("%d samples of long ago: %v", len(old), err)
		}
		before := time.Now().Add(-time.Hour) // a clock that was set back is no reason to fail
		if err := s.Add(before, []control.ClassStatus{{Name: "c", Served: served}}); err != nil {
			t.Error(err)
		}
		if err := s.Close(); err != nil {
			t.Error(err)
		}
	})
}

// The page is well-formed whatever things are called, its curves lie in their frames, and a core that does not answer is said.
func TestThePage(t *testing.T) {
	s, err := NewSeries()
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	start := time.Now().Add(-time.Minute)
	for i := range 20 {
		at := start.Add(time.Duration(i) * Every)
		if err := s.Add(at, []control.ClassStatus{{Name: "lookup & <co>", Served: int64(i * i * 3), Failed: int64(i)}}); err != nil {
			t.Fatal(err)
		}
	}
	h := &Handler{Coordinator: fake{servers: []control.Server{{Name: "<script>alert(1)</script>", State: "in_service", Health: map[string]float64{"c": 0.25}}}},
		Catalog: func() *catalog.Catalog { return settings(t) }, Series: s, Now: time.Now}
	get := func(method, path string) *http1.Response {
		return h.Serve(context.Background(), 0, &http1.Request{Method: method, Path: path})
	}
	res := get("GET", "/")
	body := string(res.Body)
	if res.Status != 200 || strings.Contains(body, "<script>") || strings.Contains(body, "<b>n0") || strings.Count(body, "<rect") != 4 || !strings.Contains(body, "0.25") {
		t.Errorf("%d %s", res.Status, body)
	}
	d := xml.NewDecoder(strings.NewReader(body))
	d.Strict, d.AutoClose, d.Entity = false, xml.HTMLAutoClose, xml.HTMLEntity
	for {
		if _, err := d.Token(); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			t.Fatalf("not well-formed: %v", err)
		}
	}
	points := regexp.MustCompile(`([-\d.]+),([-\d.]+)`).FindAllStringSubmatch(strings.Join(regexp.MustCompile(`points="[^"]*"`).FindAllString(body, -1), " "), -1)
	for _, p := range points {
		x, _ := strconv.ParseFloat(p[1], 64)
		y, _ := strconv.ParseFloat(p[2], 64)
		if x < 0 || x > chartWidth || y < 0 || y > chartHeight {
			t.Fatalf("a point outside: %v", p)
		}
	}
	if len(points) != 3*19 {
		t.Errorf("%d points", len(points))
	}
	h.Coordinator = fake{err: control.ErrBusy}
	if res := get("GET", "/"); !strings.Contains(string(res.Body), control.ErrBusy.Error()) {
		t.Errorf("%s", res.Body)
	}
	if a, b := get("PUT", "/"), get("GET", "/v1/drain"); a.Status != 405 || b.Status != 404 {
		t.Error(a.Status, b.Status)
	}
}
