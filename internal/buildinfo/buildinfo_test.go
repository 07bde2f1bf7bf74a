package buildinfo

import (
	"runtime/debug"
	"testing"

	. "github.com/onsi/gomega"
)

func TestDescribeShowsRevisionAndModification(t *testing.T) {
	g := NewWithT(t)
	g.Expect(describe(&debug.BuildInfo{GoVersion: "go1.26"})).To(Equal(Version + " unknown go1.26"))
	settings := []debug.BuildSetting{{Key: "vcs.revision", Value: "0123456789abcdef"}, {Key: "vcs.modified", Value: "true"}}
	g.Expect(describe(&debug.BuildInfo{GoVersion: "go1.26", Settings: settings})).To(Equal(Version + " 0123456789ab+changes go1.26"))
}
