package cli

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"

	"linkpass/internal/dashboard"
)

type pageCommand struct {
	Listen string `help:"Where the page is served. It asks for no key: keep it on the loopback." default:"127.0.0.1:9302"`
}

// Run serves the dashboard until SIGINT or SIGTERM. The page shows it when the coordinator does not answer.
func (c pageCommand) Run(e *env) error {
	ln, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("page: %w", err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	fmt.Fprintf(e.out, "the page is at http://%s/\n", ln.Addr())
	return dashboard.Serve(ctx, ln, e.client)
}
