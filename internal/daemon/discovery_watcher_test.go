package daemon

import (
	"testing"
	"time"

	"linkpass/internal/discovery"
	"linkpass/internal/routing"
)

// Where changes are pushed, a change counts as announced once the agent on this machine has it, so the agent is polled
// more often than a service that all coordinators share.
func TestDiscoveryTimeoutsByUpdateMode(t *testing.T) {
	for polls, want := range map[bool]discovery.Timeouts{true: discovery.SharedServiceTimeouts, false: discovery.LocalAgentTimeouts(2 * time.Second)} {
		if got := discoveryTimeouts(routing.Settings{SubscribesToEndpoints: polls, DrainGrace: 2 * time.Second}); got != want {
			t.Errorf("changes are polled: %v: timeouts = %+v, want %+v", polls, got, want)
		}
	}
}
