package daemon

import (
	"testing"
	"time"

	"linkpass"
	"linkpass/internal/discovery"
)

// Where changes are pushed, what the agent has counts as told: it is asked more often than a service for all.
func TestWatchPatience(t *testing.T) {
	for asked, want := range map[bool]discovery.Patience{true: discovery.Queued, false: discovery.Pushed(2 * time.Second)} {
		if got := watchPatience(linkpass.Settings{Subscribe: asked, DrainGrace: 2 * time.Second}); got != want {
			t.Errorf("asked for: %v: %+v, want %+v", asked, got, want)
		}
	}
}
