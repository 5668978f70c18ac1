package dashboard

import (
	"fmt"
	"html/template"
	"slices"

	"linkpass/internal/adminapi"
	"linkpass/internal/shardmap"
)

// maxRows limits the servers and the plans on the page; the source limits the shards.
const maxRows = adminapi.MaxShards

// excludedColor marks servers that get no requests.
const excludedColor template.CSS = "#888"

// page is what the template shows.
type page struct {
	Status  adminapi.Status
	Now     string
	Errors  []string // of calls of the source, each once
	Charts  []chart
	Servers []serverRow
	Indices []indexRow
	Plans   []planRow
	Width   int // of a chart
	Height  int // of a chart
	Minutes int // that a chart spans
}

type serverRow struct {
	adminapi.Server
	WorstHealth float64 // of all classes; 1 is healthy
	Color       template.CSS
}

type planRow struct {
	Index, Kind, Step, Range string
	ID                       shardmap.PlanID
	StepsDone                int // of the 4 after planSteps[0]
}

// planSteps is the order of a plan's steps; others count as the first.
var planSteps = []shardmap.PlanStep{
	shardmap.Planned, shardmap.Copying, shardmap.Replicated, shardmap.Switched, shardmap.Retired,
}

// page calls the source for all contents. Failed calls are shown; if the coordinator's status fails, the page has the
// charts alone.
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
	hue := 120 * row.WorstHealth // degrees, from red to green
	row.Color = template.CSS(fmt.Sprintf("hsl(%.0f 60%% 45%%)", hue))
	if s.Excluded != "" {
		row.Color = excludedColor
	}
	return row
}

// addShardMaps adds the shards of each index and its open plans.
func (p *page) addShardMaps(maps []adminapi.IndexShardMap) {
	for _, m := range maps {
		p.Indices = append(p.Indices, newIndexRow(m))
		for _, plan := range m.Plans[:min(len(m.Plans), maxRows-len(p.Plans))] {
			keys := plan.Range()
			p.Plans = append(p.Plans, planRow{
				Index:     m.Index,
				ID:        plan.ID,
				Kind:      string(plan.Kind),
				Step:      string(plan.Step),
				Range:     fmt.Sprintf("%016x–%016x", keys.First, keys.Last),
				StepsDone: max(0, slices.Index(planSteps, plan.Step)),
			})
		}
	}
}
