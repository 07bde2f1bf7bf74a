package platformdaemon

import (
	"context"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/crowbridge/crowbridge/platform"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	logrustest "github.com/sirupsen/logrus/hooks/test"
)

func TestPlatformDaemon(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "platformdaemon")
}

const timeout = 20 * time.Second

func discardLog() *logrus.Entry {
	logger, _ := logrustest.NewNullLogger()
	return logrus.NewEntry(logger)
}

const settingsText = `
node_name: "agent-1"
ip: "127.0.0.1"
zone: "z"
port_range: [7000, 7015]
seeds: ["127.0.0.1:1"]
provider: {address: "127.0.0.1:2"}
`

var _ = Describe("WatchSettings", func() {
	It("applies a changed file on SIGHUP and ignores an invalid one", func() {
		// Without a handler, a SIGHUP before WatchSettings has registered kills the process.
		ignored := make(chan os.Signal, 1)
		signal.Notify(ignored, syscall.SIGHUP)
		DeferCleanup(func() { signal.Stop(ignored) })
		path := filepath.Join(GinkgoT().TempDir(), "settings.yaml")
		writeSettings := func(text string) { Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed()) }
		writeSettings(settingsText)
		current, err := platform.LoadSettings(path)
		Expect(err).NotTo(HaveOccurred())
		applied := make(chan []string, 8)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			WatchSettings(ctx, current, discardLog(), func(s *platform.Settings) { applied <- s.Seeds })
			close(done)
		}()
		sendHangup := func() []string {
			Expect(syscall.Kill(os.Getpid(), syscall.SIGHUP)).To(Succeed())
			select {
			case seeds := <-applied:
				return seeds
			default:
				return nil
			}
		}
		writeSettings("node_name: [broken")
		Consistently(sendHangup, "100ms").Should(BeNil())
		writeSettings(strings.Replace(settingsText, "127.0.0.1:1", "127.0.0.1:9", 1))
		Eventually(sendHangup, timeout).Should(Equal([]string{"127.0.0.1:9"}))
		cancel()
		Eventually(done, timeout).Should(BeClosed())
	})
})
