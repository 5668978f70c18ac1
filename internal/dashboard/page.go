package dashboard

import (
	"fmt"
	"html/template"
	"slices"

	"linkpass/internal/adminapi"
	"linkpass/internal/shardmap"
)

// maxRows is the maximum number of servers, and of plans, on the page. The source limits the number of shards.
const maxRows = adminapi.MaxShards

// excludedColor is the color of servers that get no requests.
const excludedColor template.CSS = "#888"

// page is the data of the template.
type page struct {
	Status  adminapi.Status
	Now     string
	Errors  []string // of calls to the source and of the series, without duplicates
	Charts  []chart
	Servers []serverRow
	Indices []indexRow
	Plans   []planRow
	Width   int // of a chart, in units of the SVG view box
	Height  int // of a chart, in units of the SVG view box
	Minutes int // time span of a chart
}

type serverRow struct {
	adminapi.Server
	WorstHealth float64 // the lowest of all classes; 1 is healthy
	Color       template.CSS
}

type planRow struct {
	Index, Kind, Step, Range string
	ID                       shardmap.PlanID
	StepsDone                int // of the 4 steps after planSteps[0]
}

// planSteps are the steps of a plan in order. Any other step is shown like the first one.
var planSteps = []shardmap.PlanStep{
	shardmap.Planned, shardmap.Copying, shardmap.Replicated, shardmap.Switched, shardmap.Retired,
}

// page returns the data of the template. It calls the source for all contents and adds the errors of failed calls. If
// the call for the status fails, the page shows only the errors and the charts.
func (h *Handler) page() *page {
	now := h.Now()
	p := &page{
		Now:     now.UTC().Format("2006-01-02 15:04:05"),
		Width:   chartWidth,
		Height:  chartHeight,
		Minutes: int(Window.Minutes()),
	}
	status, statusErr := h.Source.Status()
	p.Status = status
	p.addError(statusErr)
	for _, class := range h.Series.Classes() {
		c, err := newChart(h.Series, now, class)
		p.addError(err)
		p.Charts = append(p.Charts, c)
	}
	if statusErr != nil {
		return p
	}
	servers, err := h.Source.Servers()
	p.addError(err)
	p.addServers(servers)
	maps, err := h.Source.ShardMaps()
	p.addError(err)
	p.addShardMaps(maps)
	return p
}

func (p *page) addError(err error) {
	if err != nil && !slices.Contains(p.Errors, err.Error()) {
		p.Errors = append(p.Errors, err.Error())
	}
}

func (p *page) addServers(servers []adminapi.Server) {
	for _, s := range servers[:min(len(servers), maxRows)] {
		p.Servers = append(p.Servers, newServerRow(s))
	}
}

func newServerRow(s adminapi.Server) serverRow {
	row := serverRow{Server: s, WorstHealth: 1}
	for _, health := range s.Health {
		row.WorstHealth = min(row.WorstHealth, health)
	}
	hue := 120 * row.WorstHealth // in degrees: 0 is red, 120 is green
	row.Color = template.CSS(fmt.Sprintf("hsl(%.0f 60%% 45%%)", hue))
	if s.Excluded != "" {
		row.Color = excludedColor
	}
	return row
}

// addShardMaps adds the shards of each index and its open plans, up to maxRows plans in all.
func (p *page) addShardMaps(maps []adminapi.IndexShardMap) {
	for _, m := range maps {
		p.Indices = append(p.Indices, newIndexRow(m))
		for _, plan := range m.Plans[:min(len(m.Plans), maxRows-len(p.Plans))] {
			p.Plans = append(p.Plans, planRow{
				Index:     m.Index,
				ID:        plan.ID,
				Kind:      string(plan.Kind),
				Step:      string(plan.Step),
				Range:     rangeText(plan),
				StepsDone: max(0, slices.Index(planSteps, plan.Step)),
			})
		}
	}
}

// rangeText formats the range of keys that a plan changes; it is empty if the plan names no old shards.
func rangeText(plan shardmap.Plan) string {
	keys, ok := plan.Range()
	if !ok {
		return ""
	}
	return fmt.Sprintf("%016x–%016x", keys.First, keys.Last)
}
