package coordinator

import (
	"errors"
	"fmt"
	"time"

	"linkpass/internal/deadline"
	"linkpass/internal/metrics"
	"linkpass/internal/routing"
)

// minMailbox is the least number of messages that the mailbox holds.
const minMailbox = 64

// ErrUnsupportedClass says that a query class has a fetch step or a stream, which a Core does not run.
var ErrUnsupportedClass = errors.New("class with a fetch step or a stream is not supported")

// Config sets up a Core.
type Config struct {
	Settings           routing.Settings
	Seed               uint64 // of the router's random draws
	HealthCheckTimeout time.Duration
	Counters           *metrics.Counters
	Totals             *metrics.Totals // made for the classes of Settings
	MailboxSize        int             // messages that wait at most; less than 64: 64
	// DisableReplan leaves the parts whose shard has moved as they are; they fail.
	DisableReplan bool
}

// New returns a core. SetTransports and Run follow. It fails on settings that routing refuses, and with
// ErrUnsupportedClass.
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
		deferred:           deferredQueue{waiting: make(chan struct{}, 1)},
		deadlines:          deadline.Queue{},
		queries:            map[routing.RequestID]*query{},
		parts:              map[routing.RequestID]*part{},
		attempts:           map[AttemptID]*attempt{},
		healthChecks:       map[uint64]*healthCheck{},
		collections:        map[string]*collection{},
	}, nil
}
