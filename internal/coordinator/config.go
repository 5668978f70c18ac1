package coordinator

import (
	"errors"
	"fmt"
	"time"

	"linkpass/internal/deadline"
	"linkpass/internal/metrics"
	"linkpass/internal/routing"
)

// minMailbox is the minimum capacity of the mailbox, in messages.
const minMailbox = 64

// ErrUnsupportedClass is returned by New for a query class with a fetch step or a stream, which a Core cannot run.
var ErrUnsupportedClass = errors.New("class with a fetch step or a stream is not supported")

// Config configures a Core.
type Config struct {
	Settings           routing.Settings
	Seed               uint64        // of the router's random numbers
	HealthCheckTimeout time.Duration // after which a health check without a reply ends
	Counters           *metrics.Counters
	Totals             *metrics.Totals // created for the classes of Settings
	MailboxSize        int             // capacity in messages; a value below 64 is raised to 64
	// DisableReplan turns off the replacement of parts whose shard has moved; such parts fail.
	DisableReplan bool
}

// New returns a core. The caller then calls SetTransports and Run. New fails on settings that routing.New rejects,
// and with ErrUnsupportedClass.
func New(config Config) (*Core, error) {
	router, err := routing.New(config.Settings, config.Seed)
	if err != nil {
		return nil, fmt.Errorf("coordinator: create the router: %w", err)
	}
	for i, class := range config.Settings.Classes {
		if class.FetchParts > 0 || class.Stream {
			return nil, fmt.Errorf("coordinator: class %d: %w", i, ErrUnsupportedClass)
		}
	}
	return &Core{
		settings:           config.Settings,
		router:             router,
		counters:           config.Counters,
		totals:             config.Totals,
		healthCheckTimeout: config.HealthCheckTimeout,
		disableReplan:      config.DisableReplan,
		epoch:              time.Now().Add(-clockAtStart),
		mailbox:            make(chan message, max(minMailbox, config.MailboxSize)),
		stopped:            make(chan struct{}),
		deferred:           newDeferredQueue(),
		deadlines:          deadline.Queue{},
		queries:            map[routing.RequestID]*query{},
		parts:              map[routing.RequestID]*part{},
		attempts:           map[AttemptID]*attempt{},
		latestBatch:        map[routing.ServerID]int{},
		healthChecks:       map[uint64]*healthCheck{},
		collections:        map[string]*collection{},
	}, nil
}
