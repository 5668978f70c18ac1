package dashboard

import (
	"bytes"
	_ "embed"
	"fmt"
	"hash/fnv"
	"html/template"
	"math"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"linkpass/internal/adminapi"
	"linkpass/internal/shardmap"
)

// Source is what the page draws; control.Client is one.
type Source interface {
	Status() (adminapi.Status, error)
	Servers() ([]adminapi.Server, error)
	ShardMaps() ([]adminapi.IndexShardMap, error)
}

// Handler serves the page at /. Everything else is not there, and nothing can be ordered.
type Handler struct {
	Source Source
	Series *Series
	Now    func() time.Time
}

//go:embed dashboard.html
var text string

var page = template.Must(template.New("page").Parse(text))

const (
	chartWidth, chartHeight = 640, 120
	maxDrawn                = adminapi.MaxShards // servers and plans; the source bounds slices
)

// view is what the template draws.
type view struct {
	Status  adminapi.Status
	Now     string
	Servers []server
	Faults  []string // what the coordinator did not answer
	Charts  []chart
	Indices []index
	Plans   []plan
	Width   int
	Height  int
	Minutes int
}

type server struct {
	adminapi.Server
	Worst float64
	Color template.CSS
}

type chart struct {
	Class string
	Most  float64
	Lines []curve
}

type curve struct {
	Kind, Points string
	Now          float64
}

type index struct {
	Name    string
	Version uint64
	Slices  int
	Drawn   []slice
}

type slice struct {
	X, Width float64 // of a thousand
	Color    template.CSS
	Title    string
}

type plan struct {
	Index, Kind, Step, Range string
	ID                       shardmap.PlanID
	Done                     int // of 4 steps
}

var steps = []shardmap.PlanStep{shardmap.Planned, shardmap.Copying, shardmap.Replicated, shardmap.Switched, shardmap.Retired}

// ServeHTTP answers with the page as things stand.
func (h *Handler) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if !named(req.Host) {
		http.Error(w, "ask for this page by its address", http.StatusMisdirectedRequest)
		return
	}
	v := h.view()
	var out bytes.Buffer
	if err := page.Execute(&out, v); err != nil {
		http.Error(w, "the page could not be drawn: "+err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	// Nothing from elsewhere, no scripts: what servers and indices are called cannot do harm.
	w.Header().Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'; frame-ancestors 'none'")
	w.Header().Set("Cache-Control", "no-store")
	_, _ = w.Write(out.Bytes()) // a browser that has gone hears nothing
}

// named tells whether a page was asked for by address. Guards against a site elsewhere whose name is made to lead
// here, and whose scripts would then read the page.
func named(host string) bool {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return host == "localhost" || net.ParseIP(strings.Trim(host, "[]")) != nil
}

// view asks for all that is drawn. What does not answer is said; the charts need no answer.
func (h *Handler) view() view {
	now := h.Now()
	v := view{Now: now.UTC().Format("2006-01-02 15:04:05"), Width: chartWidth, Height: chartHeight, Minutes: int(Window.Minutes())}
	note := func(err error) {
		if err != nil && !slices.Contains(v.Faults, err.Error()) {
			v.Faults = append(v.Faults, err.Error())
		}
	}
	var err error
	v.Status, err = h.Source.Status()
	note(err)
	for _, class := range h.Series.Classes() {
		ch, err := h.chart(now, class)
		note(err)
		v.Charts = append(v.Charts, ch)
	}
	if err != nil {
		return v
	}
	list, err := h.Source.Servers()
	note(err)
	for _, s := range list[:min(len(list), maxDrawn)] {
		v.Servers = append(v.Servers, drawServer(s))
	}
	layouts, err := h.Source.ShardMaps()
	note(err)
	v.draw(layouts)
	return v
}

func drawServer(s adminapi.Server) server {
	out := server{Server: s, Worst: 1}
	for _, health := range s.Health {
		out.Worst = min(out.Worst, health)
	}
	hue := 120 * out.Worst // from red to green
	out.Color = template.CSS(fmt.Sprintf("hsl(%.0f 60%% 45%%)", hue))
	if s.Excluded != "" {
		out.Color = "#888"
	}
	return out
}

// chart draws a class's rates; all its lines share one scale, from 0.
func (h *Handler) chart(now time.Time, class string) (chart, error) {
	c := chart{Class: class, Most: 1}
	all := make([][]point, len(kinds))
	for i, kind := range kinds {
		points, err := h.Series.rates(now, class, kind)
		if err != nil {
			return c, err
		}
		all[i] = points
		for _, p := range points {
			c.Most = max(c.Most, p.rate)
		}
	}
	c.Most = math.Ceil(c.Most)
	for i, points := range all {
		line := curve{Kind: kinds[i]}
		var b strings.Builder
		for _, p := range points {
			x := chartWidth * (1 - float64(now.Sub(p.at))/float64(Window))
			fmt.Fprintf(&b, "%.1f,%.1f ", x, chartHeight*(1-p.rate/c.Most))
			line.Now = p.rate
		}
		line.Points = strings.TrimSpace(b.String())
		c.Lines = append(c.Lines, line)
	}
	return c, nil
}

// draw adds the layouts and their open plans.
func (v *view) draw(layouts []adminapi.IndexShardMap) {
	for _, l := range layouts {
		in := index{Name: l.Index, Version: l.Version, Slices: l.Total}
		for _, s := range l.Shards {
			in.Drawn = append(in.Drawn, drawSlice(s))
		}
		v.Indices = append(v.Indices, in)
		for _, p := range l.Plans[:min(len(l.Plans), maxDrawn-len(v.Plans))] {
			r := p.Range()
			v.Plans = append(v.Plans, plan{Index: l.Index, ID: p.ID, Kind: string(p.Kind), Step: string(p.Step),
				Range: fmt.Sprintf("%016x–%016x", r.First, r.Last), Done: max(0, slices.Index(steps, p.Step))})
		}
	}
}

// drawSlice gives slices of one set of holders one colour.
func drawSlice(s shardmap.Shard) slice {
	holders := strings.Join(s.Replicas, ", ")
	h := fnv.New32a()
	h.Write([]byte(holders))
	const whole = float64(math.MaxUint64)
	return slice{X: 1000 * float64(s.Range.First) / whole, Width: 1000 * (float64(s.Range.Last-s.Range.First) + 1) / whole,
		Color: template.CSS(fmt.Sprintf("hsl(%d 45%% 60%%)", h.Sum32()%360)), Title: fmt.Sprintf("slice %d, epoch %d: %s", s.ID, s.Epoch, holders)}
}
