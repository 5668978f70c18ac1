package daemon

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"

	"linkpass/internal/discovery"
	"linkpass/internal/routing"
	"linkpass/internal/settings"
)

// Config is the configuration that the program starts with: the platform's, and the operators' file in Search.
type Config struct {
	name, listen, discovery string
	adminListen             string // address of the admin listener; "" turns it off
	listenFD                int    // descriptor of the platform's listening socket; 0: the process opens its own
	seed                    uint64
	memoryMB, sockets       int     // limits; 0: the platform sets none
	cores                   float64 // limit; 0: the platform sets none
	initialEndpoints        discovery.EndpointList
	routingSettings         routing.Settings
	programSettings         settings.ProgramSettings
	Search                  SearchConfig

	fileDiscovery string              // the file's discovery address, whether the environment overrides it or not
	env           func(string) string // reads the environment of the start; nil: os.Getenv
}

// document is the platform's configuration file.
type document struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Operator  string `json:"operator"`
	Seed      string `json:"seed"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB int     `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Known    discovery.EndpointList `json:"known"`
	Settings json.RawMessage        `json:"settings"`
}

// Load reads the platform's configuration file, which ROUTER_CONFIG names. Other variables of the environment override
// some of its values. Search is left at its zero value.
func Load(env func(string) string) (Config, error) {
	path := env("ROUTER_CONFIG")
	if path == "" {
		return Config{}, errors.New("ROUTER_CONFIG names no file")
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("configuration: %w", err)
	}
	var d document
	if err := json.Unmarshal(data, &d); err != nil {
		return Config{}, fmt.Errorf("configuration %s: %w", path, err)
	}
	envOr := func(name, fallback string) string {
		if v := env(name); v != "" {
			return v
		}
		return fallback
	}
	c := Config{
		name:             envOr("ROUTER_NAME", d.Name),
		listen:           envOr("ROUTER_LISTEN", d.Listen),
		discovery:        envOr("ROUTER_DISCOVERY", d.Discovery),
		adminListen:      envOr("ROUTER_OPERATOR", d.Operator),
		initialEndpoints: d.Known,
		env:              env,
		fileDiscovery:    d.Discovery,
		memoryMB:         d.Limits.MemoryMB,
		sockets:          d.Limits.Sockets,
		cores:            d.Limits.Cores,
	}
	if err := c.parse(path, &d); err != nil {
		return Config{}, err
	}
	return c, nil
}

// parse decodes those values of the document at path that need it, and validates the configuration.
func (c *Config) parse(path string, d *document) (err error) {
	if c.listen == "" || c.discovery == "" {
		return fmt.Errorf("configuration %s: listen or discovery is missing", path)
	}
	if fd := c.env("ROUTER_LISTEN_FD"); fd != "" {
		if c.listenFD, err = strconv.Atoi(fd); err != nil || c.listenFD <= 2 {
			return fmt.Errorf("ROUTER_LISTEN_FD %q is not a descriptor above 2", fd)
		}
	}
	if c.seed, err = strconv.ParseUint(d.Seed, 16, 64); err != nil {
		return fmt.Errorf("configuration %s: seed: %w", path, err)
	}
	if len(d.Settings) == 0 {
		return fmt.Errorf("configuration %s: settings are missing", path)
	}
	if c.routingSettings, c.programSettings, err = settings.ParseJSON(d.Settings); err != nil {
		return fmt.Errorf("configuration %s: %w", path, err)
	}
	if c.programSettings.MaxStreams <= 0 || c.programSettings.ConnectTimeout <= 0 || c.routingSettings.Tick <= 0 {
		return fmt.Errorf("configuration %s: max_streams, connect_timeout and tick must be above 0", path)
	}
	return nil
}

// Check validates the platform's configuration and the operators' file against each other, as a start would. The error
// joins all that it finds.
func (c Config) Check() error {
	var errs []error
	if _, err := c.Search.Bodies.limits(c.memoryMB, c.programSettings.Classes); err != nil {
		errs = append(errs, err)
	}
	seen := map[string]string{}
	platform := map[string]string{"listen of the platform": c.listen, "operator of the platform": c.adminListen}
	for key, addr := range platform {
		if other, ok := seen[addr]; ok && addr != "" && !strings.HasSuffix(addr, ":0") {
			errs = append(errs, fmt.Errorf("%s is the address of %s too: %s", max(key, other), min(key, other), addr))
		}
		seen[addr] = key
	}
	c.Search.addresses(func(key, addr string) {
		if other, ok := seen[addr]; ok {
			errs = append(errs, fmt.Errorf("%s is the address of the %s too: %s", key, other, addr))
		}
	})
	if c.Search.Operator.Listen != "" && c.Search.Operator.Keys != "" {
		if _, err := ReadKeyRing(c.Search.Operator.Keys); err != nil {
			errs = append(errs, err)
		}
	}
	return errors.Join(errs...)
}
