// Package buildinfo says which build a binary is.
package buildinfo

import (
	"runtime/debug"
	"strings"
)

// Version is the release that the sources belong to; see CHANGELOG.md.
const Version = "0.2.0"

const (
	// unknownRevision stands for sources that weren't built from a repository.
	unknownRevision = "unknown"
	// revisionLength is how many digits of a revision are shown.
	revisionLength = 12
)

// String returns the version, the revision of the sources and the Go release.
func String() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return Version
	}
	return describe(info)
}

func describe(info *debug.BuildInfo) string {
	revision, modified := unknownRevision, ""
	for _, setting := range info.Settings {
		switch {
		case setting.Key == "vcs.revision":
			revision = setting.Value[:min(len(setting.Value), revisionLength)]
		case setting.Key == "vcs.modified" && setting.Value == "true":
			modified = "+changes"
		}
	}
	return strings.Join([]string{Version, revision + modified, info.GoVersion}, " ")
}
