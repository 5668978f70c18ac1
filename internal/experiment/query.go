package experiment

import (
	"math/rand/v2"
	"net/url"
	"strings"
	"time"

	"linkpass/internal/emulator"
	"linkpass/internal/shardmap"
)

const (
	leagueTableShare  = 0.16 // share of all queries
	leagueTableRanges = 16   // ranges into which the key space is split; a league table requests half of them
	lookupRecords     = 4    // records that a team lookup requests
)

// Positions in classes.
const (
	teamLookup  = 0
	leagueTable = 1
)

// query is one query of a run.
type query struct {
	at        time.Duration // time to send it, since the start of the run
	class     int           // position in classes
	params    string        // URL parameters of the search
	requested []shardmap.Range
	body      string // JSON; if empty, every record of the ranges is requested
}

// drawQueries draws the queries of a run in advance, with Poisson arrivals at a rate per second. The runs that an
// experiment compares get the same queries, because the same seed yields the same draws.
func drawQueries(seed uint64, duration time.Duration, rate float64, records []emulator.Record) (queries []query) {
	rng := rand.New(rand.NewPCG(seed, 1))
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= duration {
			return queries
		}
		if rng.Float64() < leagueTableShare {
			queries = append(queries, drawLeagueTable(rng, at))
		} else {
			queries = append(queries, drawTeamLookup(rng, at, records))
		}
	}
}

// drawLeagueTable draws a query of adjacent ranges. They begin at a random range and wrap around the key space.
func drawLeagueTable(rng *rand.Rand, at time.Duration) query {
	q := query{at: at, class: leagueTable}
	ranges := shardmap.FullRange.Split(leagueTableRanges)
	var names []string
	from := rng.IntN(leagueTableRanges)
	for i := range leagueTableRanges / 2 {
		keys := ranges[(from+i)%leagueTableRanges]
		q.requested = append(q.requested, keys)
		names = append(names, keys.String())
	}
	q.params = "preference=" + url.QueryEscape("_ranges:"+strings.Join(names, ","))
	return q
}

// drawTeamLookup draws a query of lookupRecords single records.
func drawTeamLookup(rng *rand.Rand, at time.Duration, records []emulator.Record) query {
	q := query{at: at, class: teamLookup}
	var ids []string
	for range lookupRecords {
		record := records[rng.IntN(len(records))]
		ids = append(ids, record.ID)
		q.requested = append(q.requested, shardmap.Range{First: record.Key, Last: record.Key})
	}
	q.params = "routing=" + strings.Join(ids, ",")
	return q
}
