package daemon

import "runtime/debug"

// revisionDigits is the length of the shortened revision.
const revisionDigits = 12

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
			version = s.Value[:min(revisionDigits, len(s.Value))]
		case s.Key == "vcs.modified" && s.Value == "true":
			dirty = "+changes"
		}
	}
	return version + dirty
}
