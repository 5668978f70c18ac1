package main

import (
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/BurntSushi/toml"
)

// routingDir is the folder of the package that decides how queries are routed.
const routingDir = "internal/routing"

// The deploy file lists each file of the routing package except tests, and no file that was removed.
func TestDeployFileListsRoutingFiles(t *testing.T) {
	root := filepath.Join("..", "..")
	var deploy struct {
		Policy []string `toml:"policy"`
	}
	if _, err := toml.DecodeFile(filepath.Join(root, "deploy", "balancer.toml"), &deploy); err != nil {
		t.Fatal(err)
	}
	paths, err := filepath.Glob(filepath.Join(root, filepath.FromSlash(routingDir), "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	var files []string
	for _, path := range paths {
		if !strings.HasSuffix(path, "_test.go") {
			files = append(files, routingDir+"/"+filepath.Base(path))
		}
	}
	if len(files) == 0 {
		t.Fatalf("%s has no files", routingDir)
	}
	listed := slices.Sorted(slices.Values(deploy.Policy))
	if !slices.Equal(listed, files) {
		t.Errorf("deploy/balancer.toml lists %v, %s has %v", listed, routingDir, files)
	}
}
