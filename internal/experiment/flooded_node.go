package experiment

import (
	"errors"
	"fmt"
	"os"
	"time"

	"linkpass/internal/experiment/hostile"
)

// floodedNode is one coordinator in a run with a flood.
type floodedNode struct {
	fleet   *processFleet
	process *coordinatorProcess
	sound   []*soundProcess
	stops   []func() // of the hostile clients
	result  *floodResult
}

// startSound starts sound clients that keep their connections, and others that open one for each query.
func (n *floodedNode) startSound(programs programs) error {
	for _, reconnect := range []bool{false, true} {
		name := map[bool]string{false: "kept", true: "fresh"}[reconnect]
		p, err := startSound(programs, SoundConfig{Target: n.fleet.platformAddr, Name: name, Clients: floodSoundClients, Parts: 1,
			Pause: floodSoundPause, Timeout: floodSoundTimeout, Reconnect: reconnect})
		if err != nil {
			return err
		}
		n.sound = append(n.sound, p)
	}
	return nil
}

// stopSound ends the sound clients and records what they saw.
func (n *floodedNode) stopSound() error {
	sound := n.sound
	n.sound = nil
	var errs []error
	for _, p := range sound {
		report, err := p.stop()
		if report != nil {
			n.result.sound = append(n.result.sound, report)
		}
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// startFlood starts the hostile clients of a scenario.
func (n *floodedNode) startFlood(programs programs, scenario floodScenario, seed uint64) error {
	n.result.memoryBefore = n.process.memory("VmRSS:")
	n.result.beganAt = time.Now()
	for name, conns := range scenario.attacks {
		attack, ok := hostile.Find(name)
		if !ok {
			return fmt.Errorf("experiment: the flood %s has an unknown attack %q", scenario.name, name)
		}
		stop, err := n.fleet.startAttack(programs, plannedAttack{attack, conns}, seed)
		if err != nil {
			return err
		}
		n.stops = append(n.stops, stop)
	}
	return nil
}

// stopFlood ends the hostile clients.
func (n *floodedNode) stopFlood() {
	for _, stop := range n.stops {
		stop()
	}
	n.stops = nil
	n.result.memoryAfter = n.process.memory("VmRSS:")
}

// measure records the state of the process after the quiet time.
func (n *floodedNode) measure() {
	n.result.ended = n.process.hasEnded()
	n.result.memoryLater = n.process.memory("VmRSS:")
	n.result.peakMemory = n.process.peakMemory()
	n.result.counters = n.process.counters()
}

// close ends all processes of the node and removes its files.
func (n *floodedNode) close() {
	for _, stop := range n.stops {
		stop()
	}
	for _, p := range n.sound {
		_, _ = p.stop()
	}
	if n.process != nil {
		n.process.kill()
		if path := os.Getenv(floodLogsVariable); path != "" {
			_ = os.WriteFile(fmt.Sprintf("%s/%s-%d.log", path, n.result.scenario, n.result.node), []byte(n.process.log.String()), 0o600)
		}
	}
	n.fleet.close()
}

// floodLogsVariable names the environment variable of the directory to which the coordinators' logs are written.
const floodLogsVariable = "LINKPASS_FLOOD_LOGS"
