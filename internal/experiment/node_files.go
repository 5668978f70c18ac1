package experiment

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"linkpass/internal/daemon"
	"linkpass/internal/emulator"
)

// nodeFiles are the paths of a coordinator's configuration files.
type nodeFiles struct {
	platform string // the platform's configuration
	search   string // the operators' file
}

func (f nodeFiles) load() (cfg daemon.Config, err error) {
	cfg, err = daemon.Load(func(key string) string {
		if key == "ROUTER_CONFIG" {
			return f.platform
		}
		return ""
	})
	if err == nil {
		cfg.Search, err = daemon.LoadSearchConfig(f.search)
	}
	return cfg, err
}

// writeNodeFiles writes the configuration files of coordinator i into the world's directory.
func (w *world) writeNodeFiles(i int, addrs []nodeAddrs, adminAddr string) (nodeFiles, error) {
	paths := nodeFiles{platform: w.path(fmt.Sprintf("n%d-config.json", i)), search: w.path(fmt.Sprintf("n%d-search.toml", i))}
	platform, err := w.platformConfig(i, adminAddr)
	if err != nil {
		return paths, err
	}
	files := map[string]string{paths.platform: platform, paths.search: w.searchConfig(i, addrs)}
	if w.adminKeys != "" {
		files[w.path("keys.toml")] = w.adminKeys
	}
	return paths, writeFiles(files)
}

// writeFiles writes each content to its path, with read and write permission for the owner only.
func writeFiles(content map[string]string) error {
	for path, text := range content {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return fmt.Errorf("experiment: write a configuration file: %w", err)
		}
	}
	return nil
}

// platformConfig returns the platform's configuration of coordinator i, in JSON.
func (w *world) platformConfig(i int, adminAddr string) (string, error) {
	endpointList, err := encodeEndpointList(w.fleet)
	if err != nil {
		return "", err
	}
	name := fmt.Sprintf("%s-%d-n%d", filepath.Base(w.dir), w.seed, i)
	return fmt.Sprintf(`{"name":%q,"listen":"127.0.0.1:0","operator":%q,"discovery":%q,"seed":"%x","limits":{"memory_mb":%d,"sockets":4096},"known":%s,"settings":%s}`,
		name, adminAddr, w.fleet.Discovery.Addr(), w.seed*31+uint64(i), w.memoryMB, endpointList, platformSettings(w.worldConfig)), nil
}

// encodeEndpointList returns the endpoint list of a fleet's discovery, in JSON.
func encodeEndpointList(fleet *emulator.Fleet) ([]byte, error) {
	list, err := json.Marshal(fleet.Discovery.EndpointList())
	if err != nil {
		return nil, fmt.Errorf("experiment: encode the endpoint list: %w", err)
	}
	return list, nil
}

// platformSettings returns the platform's settings for the experiments' classes, in JSON.
func platformSettings(cfg worldConfig) string {
	var requestClasses, minWeights []string
	for _, c := range classes {
		requestClasses = append(requestClasses, fmt.Sprintf(`{"name":%q,"aim":%d,"hard_limit":%d,"idempotency":"free","importance":%g,"late_share":%g}`,
			c.name, c.latencyObjective.Milliseconds(), c.timeout.Milliseconds(), c.priorityWeight, c.lateValue))
		minWeights = append(minWeights, fmt.Sprint(c.minWeight))
	}
	warmupMS := max(1, cfg.capacity.WarmupDuration.Milliseconds())
	warmupInitialShare := max(0.01, cfg.capacity.WarmupInitialShare)
	return fmt.Sprintf(`{"az":0,"bounds":{"cancel":true,"connect_timeout":250,"keepalive":30000,"max_attempts":3,"max_open":%d,
"max_retry_after":1000,"max_streams":32,"probes":true,"retry_after":true,"second_copies":true},"dcs":["ebene"],"kinds":["std-2core"],
"extra":{"class_need":[1,1],"least_share":[%s],"in_a_row":1,"parts_a_call":1,"places":1,"slabs":%d},"peers_total":%d,
"report":{"fields":["active","avg_ms","waiting"],"how":"inline"},"tenants":[],"tick":5,"request_classes":[%s],
"rules":{"answer_slack":20,"cold":%d,"cold_from":%g,"drain_grace":1000,"fall_multiple":2,"tip_after":3000}}`,
		cfg.maxOpen, strings.Join(minWeights, ","), max(1, cfg.fixedShards), cfg.coordinators, strings.Join(requestClasses, ","), warmupMS, warmupInitialShare)
}

// searchConfig returns the operators' file of coordinator i, in TOML.
func (w *world) searchConfig(i int, addrs []nodeAddrs) string {
	var b bytes.Buffer
	fmt.Fprintf(&b, "listen = %q\n[search]\nmax_result_window = 100000\n", addrs[i].search)
	sets := replicaSetsTOML(w.fleet.ReplicaSets(w.replicas))
	for _, c := range classes {
		fmt.Fprintf(&b, "[indices.%s]\nclass = %q\nspread = { slices = %d, sets = %s }\n", c.index, c.name, w.shards, sets)
	}
	b.WriteString(serversTOML(w.fleet))
	fmt.Fprintf(&b, "[bodies]\n%s\n", strings.ReplaceAll(w.bodies, "DIR", w.path(fmt.Sprint("bodies", i))))
	fmt.Fprintf(&b, "[operator]\n%s\n", strings.ReplaceAll(w.admin, "DIR", w.dir))
	fmt.Fprintf(&b, "[reshape]\n%s\n[store]\nid = \"n%d\"\ndir = %q\npace = 0.2\n", w.resharding, i, w.path(fmt.Sprint("store", i)))
	for k, addr := range addrs {
		fmt.Fprintf(&b, "[[store.members]]\nid = \"n%d\"\nraft = %q\nhttp = %q\n", k, addr.raft, addr.search)
	}
	return b.String()
}

// replicaSetsTOML encodes the sets as a JSON array of arrays of strings, which is also valid TOML.
func replicaSetsTOML(sets [][]string) string {
	text, _ := json.Marshal(sets)
	return string(text)
}

func serversTOML(fleet *emulator.Fleet) string {
	var b strings.Builder
	for _, s := range fleet.Servers {
		fmt.Fprintf(&b, "[servers.%s]\nprotocol = \"search\"\n", s.Name)
	}
	return b.String()
}
