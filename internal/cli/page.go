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
	Listen string `help:"Address to serve the page at. The page requires no key: keep it on the loopback interface." default:"127.0.0.1:9302"`
}

// Run serves the dashboard until SIGINT or SIGTERM. It keeps serving while the coordinator does not answer; the page
// then shows that.
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
