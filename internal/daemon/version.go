package daemon

import "runtime/debug"

// ProgramVersion is the build's version, or else its revision.
func ProgramVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	version, dirty := info.Main.Version, ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			version = s.Value[:min(12, len(s.Value))]
		case s.Key == "vcs.modified" && s.Value == "true":
			dirty = "+changes"
		}
	}
	return version + dirty
}
