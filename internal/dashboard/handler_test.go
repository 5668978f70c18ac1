package dashboard

import (
	"encoding/xml"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"linkpass/internal/adminapi"
	"linkpass/internal/shardmap"
)

// markupStatus has a name with markup, which the page has to escape.
var markupStatus = adminapi.Status{Name: "<b>n0</b>", State: "serving", Core: "ok"}

// fakeSource is a coordinator. If err is set, it does not answer.
type fakeSource struct {
	status  adminapi.Status
	servers []adminapi.Server
	err     error // returned by Status
}

func (f fakeSource) Status() (adminapi.Status, error)    { return f.status, f.err }
func (f fakeSource) Servers() ([]adminapi.Server, error) { return f.servers, nil }

// ShardMaps returns one index, which has an open plan.
func (fakeSource) ShardMaps() ([]adminapi.IndexShardMap, error) {
	shardMap, err := shardmap.NewEven(4, [][]string{{"a", "<script>"}, {"c"}})
	if err == nil {
		request := &shardmap.PlanRequest{Kind: shardmap.Split, Shards: []shardmap.ShardID{shardmap.FirstDynamicID}, Pieces: 2}
		shardMap, err = shardMap.Apply(shardmap.Command{Request: request})
	}
	if err != nil {
		return nil, err
	}
	return []adminapi.IndexShardMap{
		{Index: "players", Version: shardMap.Version(), Total: shardMap.Len(), Shards: shardMap.Shards(),
			Plans: shardMap.Plans()},
	}, nil
}

// newTestHandler returns a handler whose series has one class and 20 samples of the last minute.
func newTestHandler(t *testing.T, source Source) *Handler {
	t.Helper()
	s, err := NewSeries()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	start := time.Now().Add(-time.Minute)
	for i := range 20 {
		at := start.Add(time.Duration(i) * SampleInterval)
		if err := s.Add(at, []adminapi.ClassStatus{{Name: "lookup & <co>", Served: int64(i * i * 3), Failed: int64(i)}}); err != nil {
			t.Fatal(err)
		}
	}
	return &Handler{Source: source, Series: s, Now: time.Now}
}

// getPage requests the page with the given Host header and returns the status and the body.
func getPage(h *Handler, host string) (int, string) {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest("GET", "http://"+host+"/", nil))
	return w.Code, w.Body.String()
}

func TestPageEscapesNames(t *testing.T) {
	h := newTestHandler(t, fakeSource{status: markupStatus, servers: []adminapi.Server{
		{Name: "<script>alert(1)</script>", State: "in_service", Health: map[string]float64{"c": 0.25}}}})
	status, body := getPage(h, "127.0.0.1:9302")
	if status != 200 || strings.Contains(body, "<script>") || strings.Contains(body, "<b>n0") ||
		strings.Count(body, "<rect") != 4 || !strings.Contains(body, "0.25") {
		t.Errorf("status = %d, want 200; want escaped names, 4 shards and the lowest health 0.25 in the page:\n%s",
			status, body)
	}
	d := xml.NewDecoder(strings.NewReader(body))
	d.Strict, d.AutoClose, d.Entity = false, xml.HTMLAutoClose, xml.HTMLEntity
	for {
		if _, err := d.Token(); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			t.Fatalf("the page is not well-formed: %v", err)
		}
	}
	checkPoints(t, body)
}

// checkPoints checks that a page has all points of the series and that each lies inside its chart.
func checkPoints(t *testing.T, body string) {
	t.Helper()
	lines := strings.Join(regexp.MustCompile(`points="[^"]*"`).FindAllString(body, -1), " ")
	points := regexp.MustCompile(`([-\d.]+),([-\d.]+)`).FindAllStringSubmatch(lines, -1)
	for _, p := range points {
		x, _ := strconv.ParseFloat(p[1], 64)
		y, _ := strconv.ParseFloat(p[2], 64)
		if x < 0 || x > chartWidth || y < 0 || y > chartHeight {
			t.Fatalf("point %v lies outside the chart of %d x %d", p, chartWidth, chartHeight)
		}
	}
	if len(points) != 3*19 {
		t.Errorf("got %d points, want %d", len(points), 3*19)
	}
}

func TestPageShowsUnreachableCoordinator(t *testing.T) {
	h := newTestHandler(t, fakeSource{status: markupStatus, err: adminapi.ErrUnreachable})
	if _, body := getPage(h, "[::1]:1"); !strings.Contains(body, adminapi.ErrUnreachable.Error()) || !strings.Contains(body, "<polyline") {
		t.Errorf("the page does not show the error %q and a chart:\n%s", adminapi.ErrUnreachable, body)
	}
}

func TestPageRejectsHostName(t *testing.T) {
	h := newTestHandler(t, fakeSource{status: markupStatus, err: adminapi.ErrUnreachable})
	if status, _ := getPage(h, "evil.example"); status != http.StatusMisdirectedRequest {
		t.Errorf("status = %d, want %d", status, http.StatusMisdirectedRequest)
	}
}
