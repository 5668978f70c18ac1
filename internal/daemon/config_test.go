package daemon

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestLoadRejectsInvalidConfig(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	valid := `{"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"8c1f","known":{"servers":[]},"settings":` + settingsText + `}`
	env := func(path string) func(string) string {
		return func(name string) string {
			return map[string]string{"ROUTER_CONFIG": path, "ROUTER_LISTEN": "127.0.0.1:3"}[name]
		}
	}
	c, err := Load(env(write("good", valid)))
	if err != nil || c.listen != "127.0.0.1:3" || c.seed != 0x8c1f || c.programSettings.MaxStreams != 32 {
		t.Fatalf("configuration %+v, error %v; want the values of the file, and listen from the environment", c, err)
	}
	for _, path := range []string{"", filepath.Join(dir, "none"), write("cut", valid[:len(valid)/2]),
		write("seed", strings.Replace(valid, "8c1f", "xyz", 1)), write("discovery", strings.Replace(valid, `"discovery"`, `"d"`, 1)),
		write("settings", strings.Replace(valid, `"slabs":6`, `"slabs":"x"`, 1)), write("streams", strings.Replace(valid, `"max_streams":32`, `"max_streams":0`, 1))} {
		if _, err := Load(env(path)); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("configuration %q: error %v, want one of a single line", path, err)
		}
	}
	for text, ok := range map[string]bool{"listen = ''": true, "listen = ": false, "listen = 5": false, "unheard = 1": false,
		"[store]\nid = 'a'": false, "[indices.players]\nclass = 'c'": false, "[servers.s-1]\nprotocol = 'telnet'": false} {
		if _, err := LoadSearchConfig(write("search.toml", text)); (err == nil) != ok {
			t.Errorf("operators' file %q: error %v, want valid: %v", text, err, ok)
		}
	}
	if _, err := LoadSearchConfig(filepath.Join(dir, "none")); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("missing operators' file that is not the default: error %v, want os.ErrNotExist", err)
	}
	if c, err := LoadSearchConfig("../../" + DefaultSearchFile); err != nil || c.Listen != "" {
		t.Errorf("operators' file of the repository: %+v, error %v; want it valid with the search front off", c, err)
	}
}
