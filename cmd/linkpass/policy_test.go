package main

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/BurntSushi/toml"
)

// The Makefile counts the lines of the files that the deploy file names as the policy: both must name the same.
func TestPolicyFilesOfMakefileAndDeployFileAgree(t *testing.T) {
	root := filepath.Join("..", "..")
	makefile, err := os.ReadFile(filepath.Join(root, "Makefile"))
	if err != nil {
		t.Fatal(err)
	}
	match := regexp.MustCompile(`(?m)^POLICY = (.+)$`).FindSubmatch(makefile)
	if match == nil {
		t.Fatal("the Makefile has no POLICY")
	}
	var deploy struct {
		Policy []string `toml:"policy"`
	}
	if _, err := toml.DecodeFile(filepath.Join(root, "deploy", "balancer.toml"), &deploy); err != nil {
		t.Fatal(err)
	}
	if counted := strings.Fields(string(match[1])); !slices.Equal(counted, deploy.Policy) {
		t.Errorf("the Makefile counts %v, deploy/balancer.toml names %v", counted, deploy.Policy)
	}
	for _, file := range deploy.Policy {
		if _, err := os.Stat(filepath.Join(root, file)); err != nil {
			t.Error(err)
		}
	}
}
