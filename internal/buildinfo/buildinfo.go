// Package buildinfo describes the build of a binary.
package buildinfo

import (
	"runtime/debug"
	"strings"
)

// Version is the release of the sources; see CHANGELOG.md.
const Version = "0.2.0"

const (
	// unknownRevision is shown for a build without version control information.
	unknownRevision = "unknown"
	// revisionLength is the number of digits of a revision that are shown.
	revisionLength = 12
)

// String returns the version, the revision of the sources and the Go version.
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
