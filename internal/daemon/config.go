package daemon

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strconv"

	"linkpass"
	"linkpass/internal/discovery"
	"linkpass/internal/schema"
	"linkpass/internal/searchconfig"
	"linkpass/internal/settings"
	"linkpass/internal/store"
)

// Config is what the program is told at its start.
type Config struct {
	name, listen, discovery string
	operator                string // "": no door
	listenFD                int    // 0: the process opens its own socket
	seed                    uint64
	memoryMB, sockets       int
	cores                   float64
	known                   discovery.Document
	module                  linkpass.Settings
	host                    settings.Host
	Search                  Search

	fileDiscovery string              // what the file names, whatever goes before it
	env           func(string) string // that named the file; nil: os.Getenv
}

// Search is the file of the search front.
type Search struct {
	Listen string `toml:"listen"`
	searchconfig.Config
	Store   store.Config `toml:"store"`
	Reshape Reshape      `toml:"reshape"`
	Bodies  Bodies       `toml:"bodies"`

	Operator Operator `toml:"operator"`
	Log      Log      `toml:"log"`

	path   string         // of the file
	values []schema.Value // as they stand in it
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
	Known    discovery.Document `json:"known"`
	Settings json.RawMessage    `json:"settings"`
}

// Load reads the configuration that the environment names.
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
	either := func(name, otherwise string) string {
		if v := env(name); v != "" {
			return v
		}
		return otherwise
	}
	c := Config{name: either("ROUTER_NAME", d.Name), listen: either("ROUTER_LISTEN", d.Listen),
		discovery: either("ROUTER_DISCOVERY", d.Discovery), operator: either("ROUTER_OPERATOR", d.Operator), known: d.Known,
		env: env, fileDiscovery: d.Discovery, memoryMB: d.Limits.MemoryMB, sockets: d.Limits.Sockets, cores: d.Limits.Cores}
	if c.listen == "" || c.discovery == "" {
		return Config{}, fmt.Errorf("configuration %s: listen or discovery is missing", path)
	}
	if fd := env("ROUTER_LISTEN_FD"); fd != "" {
		if c.listenFD, err = strconv.Atoi(fd); err != nil || c.listenFD <= 2 {
			return Config{}, fmt.Errorf("ROUTER_LISTEN_FD %q is no descriptor to listen on", fd)
		}
	}
	if c.seed, err = strconv.ParseUint(d.Seed, 16, 64); err != nil {
		return Config{}, fmt.Errorf("configuration %s: seed: %w", path, err)
	}
	if len(d.Settings) == 0 {
		return Config{}, fmt.Errorf("configuration %s: settings are missing", path)
	}
	if c.module, c.host, err = settings.ParseJSON(d.Settings); err != nil {
		return Config{}, fmt.Errorf("configuration %s: %w", path, err)
	}
	if c.host.MaxStreams <= 0 || c.host.ConnectTimeout <= 0 || c.module.Tick <= 0 {
		return Config{}, fmt.Errorf("configuration %s: max_streams, connect_timeout and tick must be above 0", path)
	}
	return c, nil
}
