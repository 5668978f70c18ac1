package experiment

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// Guards against memory use beyond the default budget of 32 MB when the bodies are larger than that: 1000 bodies of
// 64 KiB are 62 MiB. The test runs the program in a process of its own, built without the race detector, whose shadow
// memory would count as resident.
func TestBodiesUnder32MB(t *testing.T) {
	bin := filepath.Join(t.TempDir(), "lab")
	if out, err := exec.Command("go", "build", "-o", bin, "linkpass/cmd/linkpass-lab").CombinedOutput(); err != nil {
		t.Fatalf("go build: %v\n%s", err, out)
	}
	cmd := exec.Command(bin, "hold", "tight", "--bodies", "1000")
	cmd.Env = append(os.Environ(), "TMPDIR="+t.TempDir(), "GOMAXPROCS=2")
	out, err := cmd.Output()
	if err != nil {
		t.Fatal(err)
	}
	var base, resident, held int64
	if _, err := fmt.Sscanf(string(out), "base=%d resident=%d held=%d", &base, &resident, &held); err != nil || held != 1000*holdBodyBytes {
		t.Fatalf("hold printed %q, want held=%d: %v", out, 1000*holdBodyBytes, err)
	}
	if resident-base > 32<<20 {
		t.Errorf("resident memory grew by %d bytes after the first body, want at most %d", resident-base, 32<<20)
	}
}
