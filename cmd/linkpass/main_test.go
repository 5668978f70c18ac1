package main

import (
	"debug/elf"
	"os"
	"path/filepath"
	"slices"
	"testing"
)

// Guards against statically linked programs: the bench of the full fleet loads a library into the process. `make test`
// sets LINKPASS_BUILT to the folder of the programs.
func TestBuiltProgramsAreDynamic(t *testing.T) {
	dir := os.Getenv("LINKPASS_BUILT")
	if dir == "" {
		t.Skip("LINKPASS_BUILT is not set; make test sets it")
	}
	for _, name := range []string{"linkpass", "adapter"} {
		t.Run(name, func(t *testing.T) {
			f, err := elf.Open(filepath.Join(dir, name))
			if err != nil {
				t.Fatal(err)
			}
			defer f.Close()
			loader := slices.ContainsFunc(f.Progs, func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP })
			libs, err := f.ImportedLibraries()
			if err != nil || !loader || !slices.Contains(libs, "libc.so.6") {
				t.Errorf("loader %v, libraries %v, %v; want the C library, linked dynamically", loader, libs, err)
			}
		})
	}
}
