package daemon

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/BurntSushi/toml"

	"linkpass/internal/discovery"
	"linkpass/internal/goldentest"
	"linkpass/internal/routing"
	"linkpass/internal/settings"
)

// checkGolden compares lines with a golden file directly under testdata.
func checkGolden(t *testing.T, file string, lines []string) {
	t.Helper()
	goldentest.Bytes(t, filepath.Join("..", file), []byte(strings.Join(lines, "\n")+"\n"))
}

// leafKeys lists the keys of a decoded TOML text with the types of their values, sorted.
func leafKeys(name string, v any) (out []string) {
	switch v := v.(type) {
	case map[string]any:
		for _, key := range slices.Sorted(maps.Keys(v)) {
			out = append(out, leafKeys(strings.TrimPrefix(name+"."+key, "."), v[key])...)
		}
		if len(v) == 0 {
			out = []string{name + " table"}
		}
		return out
	case []map[string]any:
		for i, item := range v {
			out = append(out, leafKeys(fmt.Sprintf("%s[%d]", name, i), item)...)
		}
		return out
	}
	return []string{fmt.Sprintf("%s %T", name, v)}
}

// decoded returns a decoded TOML text.
func decoded(t *testing.T, text string) map[string]any {
	t.Helper()
	var tree map[string]any
	if _, err := toml.Decode(text, &tree); err != nil {
		t.Fatal(err)
	}
	return tree
}

func readFile(t *testing.T, path string) string {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// The platform reads deploy/balancer.toml, so its keys and the programs that run and sim start are part of the format.
func TestDeployFileGolden(t *testing.T) {
	tree := decoded(t, readFile(t, "../../deploy/balancer.toml"))
	checkGolden(t, "deploy_keys.txt", leafKeys("", tree))
	for key, want := range map[string]string{
		"run": "exec bin/linkpass",
		"sim": "exec bin/adapter",
		"build": "mkdir -p bin && " +
			"CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/...",
	} {
		if tree[key] != want {
			t.Errorf("%s = %q, want %q", key, tree[key], want)
		}
	}
	for _, key := range []string{"policy", "node"} {
		requirePaths(t, key, tree[key])
	}
	for _, program := range []string{"linkpass", "adapter"} {
		if _, err := os.Stat(filepath.Join("../../cmd", program)); err != nil {
			t.Error(err)
		}
	}
}

// requirePaths requires a key of the deploy file to list existing paths.
func requirePaths(t *testing.T, key string, value any) {
	t.Helper()
	list, ok := value.([]any)
	if !ok || len(list) == 0 {
		t.Errorf("%s = %v, want a list of paths", key, value)
	}
	for _, item := range list {
		path, ok := item.(string)
		if _, err := os.Stat(filepath.Join("../..", path)); !ok || err != nil {
			t.Errorf("%s names %v, which does not exist", key, item)
		}
	}
}

// The keys that the shipped operators' file sets, and those that it has as comments.
func TestShippedOperatorsFileGoldenKeys(t *testing.T) {
	text := readFile(t, "../../"+DefaultSearchFile)
	commented := regexp.MustCompile(`(?m)^#(\[|[a-z_]+ =)`)
	uncommented := commented.ReplaceAllString(text, "$1")
	lines := slices.Concat(
		[]string{"# as shipped"},
		leafKeys("", decoded(t, text)),
		[]string{"# with its remarks"},
		leafKeys("", decoded(t, uncommented)),
	)
	checkGolden(t, "shipped_keys.txt", lines)
}

// Names, types, defaults, ranges and units of the keys are part of the format.
func TestKeysGolden(t *testing.T) {
	var lines []string
	for _, k := range Keys {
		lines = append(lines, fmt.Sprintf("%s | %s | default %q | %q to %q | one of %q | %s | live %t",
			k.Name, k.Type, k.Default, k.Min, k.Max, k.OneOf, k.Unit, k.Reloadable))
	}
	checkGolden(t, "keys.txt", lines)
}

func TestOperatorsFileGolden(t *testing.T) {
	path := filepath.Join("testdata", "operators.toml")
	got, err := LoadSearchConfig(path)
	if err != nil {
		t.Fatal(err)
	}
	var read []string
	for _, v := range got.values {
		read = append(read, fmt.Sprintf("%s = %v", v.Name, v.Raw))
	}
	slices.Sort(read)
	checkGolden(t, "operators_values.txt", read)
	got.path, got.values = "", nil
	want := goldenSearch(t)
	if !reflect.DeepEqual(got, want) {
		t.Errorf("operators' file: got  %+v\nwant %+v", got, want)
	}
	if n := len(got.Indices["scores"].ShardMap.Shards); n != 4 {
		t.Errorf("the index with an initial sharding has %d shards, want 4", n)
	}
}

// goldenConfiguration is the content of testdata/configuration.json.
func goldenConfiguration() Config {
	return Config{
		name:             "router-1",
		listen:           "127.0.0.1:8080",
		discovery:        "127.0.0.1:8500",
		adminListen:      "127.0.0.1:8081",
		seed:             0x9b1f03aa5c7e2d41,
		memoryMB:         256,
		sockets:          400,
		cores:            1.5,
		fileDiscovery:    "127.0.0.1:8500",
		initialEndpoints: goldenEndpoints(),
		routingSettings:  goldenRoutingSettings(),
		programSettings: settings.ProgramSettings{
			Zones:             []string{"ebene"},
			Kinds:             []string{"std-2core"},
			Classes:           []string{"league-table"},
			MaxStreams:        32,
			ConnectTimeout:    251500 * time.Microsecond,
			ServerIdleTimeout: 30 * time.Second,
		},
	}
}

func goldenEndpoints() discovery.EndpointList {
	return discovery.EndpointList{
		Version: 41,
		Full:    true,
		Endpoints: []discovery.Endpoint{{
			ID:        "s-5be2a07c",
			Addr:      "127.0.0.1:7001",
			Zone:      "ebene",
			Kind:      "std-2core",
			Cell:      3,
			State:     "in_service",
			Weight:    1.5,
			StartedMS: 1700000000123,
		}},
	}
}

func goldenRoutingSettings() routing.Settings {
	return routing.Settings{
		Tick:             5500 * time.Microsecond,
		Coordinators:     3,
		Shards:           24,
		Cells:            12,
		ReplicasPerShard: 2,
		MaxWriteDelay:    251500 * time.Microsecond,
		Classes: []routing.Class{{
			Idempotency:      routing.IdempotentWithKey,
			LatencyObjective: 2500 * time.Millisecond,
			Deadline:         7500 * time.Millisecond,
			RequiredWeight:   1,
			MinWeight:        1,
		}},
	}
}

func TestConfigurationFileGolden(t *testing.T) {
	for _, c := range []struct {
		name string
		env  map[string]string
		set  func(*Config)
	}{
		{"file alone", nil, func(*Config) {}},
		{
			"environment before the file",
			map[string]string{
				"ROUTER_NAME":      "n",
				"ROUTER_LISTEN":    "l:1",
				"ROUTER_DISCOVERY": "d:2",
				"ROUTER_OPERATOR":  "o:3",
				"ROUTER_LISTEN_FD": "7",
			},
			func(c *Config) {
				c.name, c.listen, c.discovery, c.adminListen, c.listenFD = "n", "l:1", "d:2", "o:3", 7
			},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, err := Load(func(name string) string {
				if name == "ROUTER_CONFIG" {
					return filepath.Join("testdata", "configuration.json")
				}
				return c.env[name]
			})
			want := goldenConfiguration()
			c.set(&want)
			got.env = nil // a function, which is not comparable
			if err != nil || !reflect.DeepEqual(got, want) {
				t.Errorf("got  %+v, error %v\nwant %+v", got, err, want)
			}
		})
	}
}
