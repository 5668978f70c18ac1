package coordinator

import (
	"time"

	"linkpass/internal/outcome"
	"linkpass/internal/routing"
)

// HealthCheckEnded reports how a health check ended. A second report for the same health check is ignored.
func (c *Core) HealthCheckEnded(number uint64, result Result) {
	c.post(healthCheckEnded{number, result})
}

// WarmUp makes the router send health checks to all servers. done is called once, when all of them have replied or
// timed out. It runs on the core's goroutine and must not block.
func (c *Core) WarmUp(done func()) {
	c.post(warmUpRequested{done})
}

func (c *Core) warmUp(done func()) {
	c.addEvent(routing.WarmUp{})
	c.onWarmedUp = done
}

// openHealthCheck sends a health check. It ends at its timeout if no reply has arrived.
func (c *Core) openHealthCheck(now time.Duration, server routing.ServerID) {
	c.counters.Add("health_checks_sent", 1)
	c.lastNumber++
	number := c.lastNumber
	check := &healthCheck{server: server, sentAt: now}
	check.timeout = c.deadlines.Arm(now+c.healthCheckTimeout, func() {
		c.transports.AbandonHealthCheck(server, number)
		c.endHealthCheck(number, Result{Outcome: outcome.Timeout, At: c.Now()})
	})
	c.healthChecks[number] = check
	if !c.transports.CheckHealth(server, number) {
		c.endHealthCheck(number, Result{Outcome: outcome.QueueFull, At: now})
	}
}

// endHealthCheck ends a health check and reports its outcome to the router. It ignores health checks that have
// already ended.
func (c *Core) endHealthCheck(number uint64, result Result) {
	check := c.healthChecks[number]
	if check == nil {
		return
	}
	delete(c.healthChecks, number)
	c.deadlines.Disarm(check.timeout)
	c.counters.Add("health_checks_"+result.Outcome.String(), 1)
	c.addEvent(routing.HealthCheckResult{Server: check.server, Code: result.Outcome.RoutingCode(),
		Latency: max(0, result.At-check.sentAt), LoadReport: result.LoadReport})
}
