package daemon

import "runtime/debug"

// revisionDigits is the length of the shortened revision.
const revisionDigits = 12

// ProgramVersion returns the build's revision, shortened and with "+changes" if the tree was modified. It returns the
// module's version if the build has no revision, and "unknown" if it has no information at all.
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
