package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"syscall"
	"time"
)

// SoundConfig configures RunSoundClients.
type SoundConfig struct {
	Target    string        // host:port of the platform's front, on the loopback
	Name      string        // prefix of the queries' names
	Clients   int           // each has one connection
	Parts     int           // of a query
	Pause     time.Duration // between an answer and the next query
	Timeout   time.Duration // of a query
	Reconnect bool          // opens a new connection for each query
}

// SoundReport is what sound clients saw. Times are milliseconds.
type SoundReport struct {
	Sent     int            `json:"sent"`
	Answered int            `json:"answered"` // status 200
	Rejected int            `json:"rejected"` // status 429 or 503
	Failed   int            `json:"failed"`   // another status
	Closed   int            `json:"closed"`   // the connection ended without an answer, or could not be opened
	Resent   int            `json:"resent"`   // the query was sent once more, as a resting connection had ended
	Late     int            `json:"late"`     // no answer until the allowed time after the query's timeout
	P50      int64          `json:"p50_ms"`
	P99      int64          `json:"p99_ms"`
	Max      int64          `json:"max_ms"`
	Missed   []MissedReport `json:"missed"` // queries that were late or closed
}

// MissedReport is a query that had no answer in time.
type MissedReport struct {
	Name   string    `json:"name"`
	SentAt time.Time `json:"sent_at"`
	Status int       `json:"status"` // of the late answer; 0: none
	Took   int64     `json:"took_ms"`
}

// String returns the counts and the latencies in one line.
func (r *SoundReport) String() string {
	return fmt.Sprintf("sent=%d ok=%d rejected=%d failed=%d closed=%d resent=%d late=%d p50=%dms p99=%dms max=%dms",
		r.Sent, r.Answered, r.Rejected, r.Failed, r.Closed, r.Resent, r.Late, r.P50, r.P99, r.Max)
}

// report returns the result in the form in which a process of sound clients prints it.
func (r *soundResult) report() *SoundReport {
	out := &SoundReport{
		Sent: r.sent(), Answered: len(r.latencies), Rejected: r.rejected, Failed: r.failed, Closed: r.closed, Resent: r.resent,
		Late: r.late, P50: r.quantile(0.5).Milliseconds(), P99: r.quantile(0.99).Milliseconds(), Max: r.quantile(1).Milliseconds(),
	}
	for _, m := range r.missed {
		out.Missed = append(out.Missed, MissedReport{m.name, m.sentAt, m.status, m.took.Milliseconds()})
	}
	return out
}

// RunSoundClients runs clients that keep to the protocol until SIGINT, SIGTERM or the longest duration of an attack, and
// prints a SoundReport in JSON.
func RunSoundClients(c SoundConfig) error {
	host, _, err := net.SplitHostPort(c.Target)
	if err != nil || !net.ParseIP(host).IsLoopback() {
		return errNotLoopback
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxHostileDuration)
	defer cancel()
	load := soundLoad{addr: c.Target, name: c.Name, clients: c.Clients, parts: c.Parts, pause: c.Pause, timeout: c.Timeout, reconnect: c.Reconnect}
	return json.NewEncoder(os.Stdout).Encode(load.run(ctx).report())
}

// soundProcess is a process that runs sound clients.
type soundProcess struct {
	cmd    *exec.Cmd
	output bytes.Buffer
}

// startSound starts sound clients in a process of their own, so that they are not held up by what runs in this one.
func startSound(programs programs, c SoundConfig) (*soundProcess, error) {
	p := &soundProcess{cmd: exec.Command(programs.lab, "sound", c.Target, "--name", c.Name, "--clients", fmt.Sprint(c.Clients),
		"--parts", fmt.Sprint(c.Parts), "--pause", c.Pause.String(), "--timeout", c.Timeout.String(),
		fmt.Sprintf("--reconnect=%v", c.Reconnect))}
	p.cmd.Stdout, p.cmd.Stderr = &p.output, os.Stderr
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("experiment: start sound clients: %w", err)
	}
	return p, nil
}

// stop ends the clients after the answers to their open queries, and returns their report.
func (p *soundProcess) stop() (*SoundReport, error) {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	report := &SoundReport{}
	err := errors.Join(p.cmd.Wait(), json.Unmarshal(p.output.Bytes(), report))
	if err != nil {
		return nil, fmt.Errorf("experiment: sound clients: %w", err)
	}
	return report, nil
}
