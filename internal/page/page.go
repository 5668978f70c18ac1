package page

import (
	"bytes"
	"context"
	_ "embed"
	"fmt"
	"hash/fnv"
	"html/template"
	"math"
	"net/textproto"
	"slices"
	"strings"
	"sync"
	"time"

	"linkpass/internal/catalog"
	"linkpass/internal/control"
	"linkpass/internal/event"
	"linkpass/internal/http1"
	"linkpass/internal/layout"
)

// Coordinator is what the page draws.
type Coordinator interface {
	Status() control.Status
	Servers() ([]control.Server, error)
}

// Handler serves the page at /. Everything else is not there, and nothing can be ordered.
type Handler struct {
	Coordinator Coordinator
	Catalog     func() *catalog.Catalog
	Series      *Series
	Now         func() time.Time

	lines event.Lines
}

//go:embed page.html
var text string

// page is read when it is first asked for: where it is off it costs no memory.
var page = sync.OnceValue(func() *template.Template { return template.Must(template.New("page").Parse(text)) })

const (
	chartWidth, chartHeight = 640, 120
	maxDrawn                = 500 // slices of an index, plans, servers
)

// view is what the template draws.
type view struct {
	Status  control.Status
	Now     string
	Servers []server
	Asleep  string // why there are no servers
	Charts  []chart
	Indices []index
	Plans   []plan
	Width   int
	Height  int
	Minutes int
}

type server struct {
	control.Server
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
	ID                       layout.PlanID
	Done                     int // of 4 steps
}

var steps = []layout.Step{layout.Planned, layout.Copying, layout.BothHold, layout.Switched, layout.Retired}

// Serve answers with the page as things stand.
func (h *Handler) Serve(_ context.Context, _ time.Duration, req *http1.Request) *http1.Response {
	switch {
	case req.Path != "/":
		return plain(404, "only / is here\n")
	case req.Method != "GET" && req.Method != "HEAD":
		res := plain(405, "this page only shows\n")
		res.Header.Set("Allow", "GET")
		return res
	}
	var out bytes.Buffer
	v, err := h.view()
	if err == nil {
		err = page().Execute(&out, v)
	}
	if err != nil {
		h.lines.Log(event.PageFailed, err)
		return plain(500, "the page could not be drawn; see the log\n")
	}
	return &http1.Response{Status: 200, Body: out.Bytes(), Header: textproto.MIMEHeader{"Content-Type": {"text/html; charset=utf-8"},
		// Nothing from elsewhere, no scripts: what servers and indices are called cannot do harm.
		"Content-Security-Policy": {"default-src 'none'; style-src 'unsafe-inline'; frame-ancestors 'none'"}, "Cache-Control": {"no-store"}}}
}

func plain(status int, body string) *http1.Response {
	return &http1.Response{Status: status, Body: []byte(body), Header: textproto.MIMEHeader{"Content-Type": {"text/plain; charset=utf-8"}}}
}

func (h *Handler) view() (view, error) {
	now := h.Now()
	v := view{Status: h.Coordinator.Status(), Now: now.UTC().Format("2006-01-02 15:04:05"), Width: chartWidth, Height: chartHeight, Minutes: int(Window.Minutes())}
	for _, c := range v.Status.Classes {
		ch, err := h.chart(now, c.Name)
		if err != nil {
			return v, err
		}
		v.Charts = append(v.Charts, ch)
	}
	list, err := h.Coordinator.Servers()
	if err != nil {
		v.Asleep = err.Error()
	}
	for _, s := range list[:min(len(list), maxDrawn)] {
		v.Servers = append(v.Servers, drawServer(s))
	}
	h.layouts(&v)
	return v, nil
}

func drawServer(s control.Server) server {
	out := server{Server: s, Worst: 1}
	for _, health := range s.Health {
		out.Worst = min(out.Worst, health)
	}
	hue := 120 * out.Worst // from red to green
	out.Color = template.CSS(fmt.Sprintf("hsl(%.0f 60%% 45%%)", hue))
	if s.Avoided != "" {
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

// layouts draws the indices that have one, and their open plans.
func (h *Handler) layouts(v *view) {
	c := h.Catalog()
	names := make([]string, 0, len(c.Indices))
	for name := range c.Indices {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		l := c.Layout(name)
		if l == nil {
			continue
		}
		in := index{Name: name, Version: l.Version(), Slices: l.Len()}
		l.Each(layout.All, func(s layout.Slice) bool {
			in.Drawn = append(in.Drawn, drawSlice(s))
			return len(in.Drawn) < maxDrawn
		})
		v.Indices = append(v.Indices, in)
		for _, p := range l.Plans() {
			if len(v.Plans) == maxDrawn {
				break
			}
			r := p.Range()
			v.Plans = append(v.Plans, plan{Index: name, ID: p.ID, Kind: string(p.Kind), Step: string(p.Step),
				Range: fmt.Sprintf("%016x–%016x", r.First, r.Last), Done: max(0, slices.Index(steps, p.Step))})
		}
	}
}

// drawSlice gives slices of one set of holders one colour.
func drawSlice(s layout.Slice) slice {
	holders := strings.Join(s.Holders, ", ")
	h := fnv.New32a()
	h.Write([]byte(holders))
	const whole = float64(math.MaxUint64)
	return slice{X: 1000 * float64(s.Range.First) / whole, Width: 1000 * (float64(s.Range.Last-s.Range.First) + 1) / whole,
		Color: template.CSS(fmt.Sprintf("hsl(%d 45%% 60%%)", h.Sum32()%360)), Title: fmt.Sprintf("slice %d, epoch %d: %s", s.ID, s.Epoch, holders)}
}
