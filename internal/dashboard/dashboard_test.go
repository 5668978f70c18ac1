package dashboard

import (
	"context"
	"encoding/xml"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"linkpass/internal/adminapi"
	"linkpass/internal/shardmap"
)

// markupStatus has a name that must not become an element of the page.
var markupStatus = adminapi.Status{Name: "<b>n0</b>", State: "serving", Core: "ok"}

// fakeSource is a coordinator, or one that does not answer.
type fakeSource struct {
	status  adminapi.Status
	servers []adminapi.Server
	err     error // of Status
}

func (f fakeSource) Status() (adminapi.Status, error)    { return f.status, f.err }
func (f fakeSource) Servers() ([]adminapi.Server, error) { return f.servers, nil }

// ShardMaps has an index with an open plan.
func (fakeSource) ShardMaps() ([]adminapi.IndexShardMap, error) {
	l, err := shardmap.NewEven(4, [][]string{{"a", "<script>"}, {"c"}})
	if err == nil {
		l, err = l.Apply(shardmap.Command{Request: &shardmap.PlanRequest{Kind: shardmap.Split, Shards: []shardmap.ShardID{shardmap.FirstDynamicID}, Pieces: 2}})
	}
	if err != nil {
		return nil, err
	}
	return []adminapi.IndexShardMap{{Index: "players", Version: l.Version(), Total: l.Len(), Shards: l.Shards(), Plans: l.Plans()}}, nil
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
			if err := s.Add(time.Now(), []adminapi.ClassStatus{{Name: "c", Served: served}}); err != nil {
				t.Fatal(err)
			}
			served += 10
			time.Sleep(SampleInterval)
		}
		synctest.Wait()
		got, err := s.rates(time.Now(), "c", "served")
		if n := len(got); err != nil || n < int(Window/SampleInterval)-1 || n > int(Window/SampleInterval)+1 {
			t.Fatalf("%d samples of %d: %v", n, Window/SampleInterval, err)
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
		if err := s.Add(before, []adminapi.ClassStatus{{Name: "c", Served: served}}); err != nil {
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
		at := start.Add(time.Duration(i) * SampleInterval)
		if err := s.Add(at, []adminapi.ClassStatus{{Name: "lookup & <co>", Served: int64(i * i * 3), Failed: int64(i)}}); err != nil {
			t.Fatal(err)
		}
	}
	h := &Handler{Source: fakeSource{status: markupStatus, servers: []adminapi.Server{{Name: "<script>alert(1)</script>", State: "in_service", Health: map[string]float64{"c": 0.25}}}},
		Series: s, Now: time.Now}
	get := func(host string) (int, string) {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest("GET", "http://"+host+"/", nil))
		return w.Code, w.Body.String()
	}
	status, body := get("127.0.0.1:9302")
	if status != 200 || strings.Contains(body, "<script>") || strings.Contains(body, "<b>n0") || strings.Count(body, "<rect") != 4 || !strings.Contains(body, "0.25") {
		t.Errorf("%d %s", status, body)
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
	h.Source = fakeSource{status: markupStatus, err: adminapi.ErrUnreachable}
	if _, body := get("[::1]:1"); !strings.Contains(body, adminapi.ErrUnreachable.Error()) || !strings.Contains(body, "<polyline") {
		t.Errorf("%s", body)
	}
	if status, _ := get("evil.example"); status != http.StatusMisdirectedRequest {
		t.Error(status)
	}
}

// The page is there and nowhere else, and nothing can be ordered; it ends with its context, though nobody answers it.
func TestServe(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- Serve(ctx, ln, fakeSource{status: markupStatus, err: adminapi.ErrUnreachable}) }()
	for call, want := range map[[2]string]int{{"GET", "/"}: 200, {"PUT", "/"}: 405, {"GET", "/v1/drain"}: 404} {
		req, err := http.NewRequest(call[0], "http://"+ln.Addr().String()+call[1], nil)
		if err != nil {
			t.Fatal(err)
		}
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		res.Body.Close()
		if res.StatusCode != want {
			t.Errorf("%v: %d", call, res.StatusCode)
		}
	}
	stop()
	if err := <-done; err != nil {
		t.Error(err)
	}
}
