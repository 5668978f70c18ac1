package experiment

import (
	"slices"
	"time"
)

// Random pauses of each server. A duration is drawn uniformly from its Min constant up to Min plus Spread.
const (
	firstPauseWithin    = 7 * time.Second // after the start of the disruption
	pauseMin            = 79 * time.Millisecond
	pauseSpread         = 161 * time.Millisecond
	pauseIntervalMin    = 4900 * time.Millisecond
	pauseIntervalSpread = 3800 * time.Millisecond
)

// Pauses of a server about the time when a shard is moved away from it, drawn in the same way.
const (
	switchPauseDelayMin    = 100 * time.Millisecond // from the command to the pause
	switchPauseDelaySpread = 900 * time.Millisecond
	switchPauseMin         = 200 * time.Millisecond
	switchPauseSpread      = 300 * time.Millisecond
)

// switchPause is a pause of a server that is scheduled.
type switchPause struct {
	server   string
	at       time.Duration // since disruptor.begin
	duration time.Duration
}

func (d *disruptor) pauseServers() {
	for i, server := range d.world.fleet.Servers {
		if d.elapsed() >= d.nextPause[i] {
			server.Pause(pauseMin + d.drawDuration(pauseSpread))
			d.nextPause[i] = d.elapsed() + pauseIntervalMin + d.drawDuration(pauseIntervalSpread)
		}
	}
}

// scheduleSwitchPauses schedules pauses of a shard's present replicas for about the time when its plan switches, so
// that parts sent to them before the switch find the shard moved.
func (d *disruptor) scheduleSwitchPauses(rows []shardRow, index string, shard uint64, elapsed time.Duration) {
	for _, row := range rows {
		if row.Index == index && row.Shard == shard {
			at := elapsed + switchPauseDelayMin + d.drawDuration(switchPauseDelaySpread)
			duration := switchPauseMin + d.drawDuration(switchPauseSpread)
			d.switchPauses = append(d.switchPauses, switchPause{row.Server, at, duration})
		}
	}
}

func (d *disruptor) pauseAtSwitches() {
	d.switchPauses = slices.DeleteFunc(d.switchPauses, func(p switchPause) bool {
		if d.elapsed() < p.at {
			return false
		}
		d.world.fleet.Server(p.server).Pause(p.duration)
		return true
	})
}
