package experiment

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"linkpass/internal/experiment/hostile"
)

// maxHostileDuration bounds an attack, so that one that is forgotten ends by itself.
const maxHostileDuration = 10 * time.Minute

// errNotLoopback is the error of an attack on another machine.
var errNotLoopback = errors.New("experiment: the target of an attack must be a loopback address")

// HostileConfig configures RunHostileClients.
type HostileConfig struct {
	Attack   string // name of an attack of package hostile
	Target   string // host:port on the loopback
	Conns    int    // connections at a time
	Duration time.Duration
	Seed     uint64
}

// RunHostileClients runs one attack until its duration has passed, or until SIGINT or SIGTERM. It fails if there is no
// such attack or the target is not a loopback address.
func RunHostileClients(c HostileConfig) error {
	attack, ok := hostile.Find(c.Attack)
	if !ok {
		return fmt.Errorf("experiment: unknown attack %q; there are: %s", c.Attack, strings.Join(attackNames(), ", "))
	}
	host, _, err := net.SplitHostPort(c.Target)
	if err != nil || !net.ParseIP(host).IsLoopback() {
		return errNotLoopback
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, min(c.Duration, maxHostileDuration))
	defer cancel()
	attack.Run(ctx, c.Target, c.Conns, c.Seed)
	return nil
}

func attackNames() (names []string) {
	for _, attack := range hostile.All() {
		names = append(names, attack.Name)
	}
	return names
}
