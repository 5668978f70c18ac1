package experiment

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// Guards against bodies in memory beyond the default budget of 32 MB: a thousand of 64 KiB are 62 MiB. The program is
// built without the race detector, whose shadow memory would count.
func TestBodiesUnder32MB(t *testing.T) {
	bin := filepath.Join(t.TempDir(), "lab")
	if out, err := exec.Command("go", "build", "-o", bin, "linkpass/cmd/linkpass-lab").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	cmd := exec.Command(bin, "hold", "tight", "--bodies", "1000")
	cmd.Env = append(os.Environ(), "TMPDIR="+t.TempDir(), "GOMAXPROCS=2")
	out, err := cmd.Output()
	if err != nil {
		t.Fatal(err)
	}
	var base, resident, held int64
	if _, err := fmt.Sscanf(string(out), "base=%d resident=%d held=%d", &base, &resident, &held); err != nil || held != 1000*holdBodyBytes {
		t.Fatalf("%s %v", out, err)
	}
	if resident-base > 32<<20 {
		t.Errorf("%d bytes more resident than before the first body", resident-base)
	}
}
