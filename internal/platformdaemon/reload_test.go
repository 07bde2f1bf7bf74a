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

func TestHosted(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "hosted")
}

const patience = 20 * time.Second

func quietLog() *logrus.Entry {
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

var _ = Describe("a changed settings file", func() {
	It("is taken over on SIGHUP, and a broken one changes nothing", func() {
		// Registered here too, so that a signal before WatchSettings listens is harmless.
		ignored := make(chan os.Signal, 1)
		signal.Notify(ignored, syscall.SIGHUP)
		DeferCleanup(func() { signal.Stop(ignored) })
		path := filepath.Join(GinkgoT().TempDir(), "settings.yaml")
		write := func(text string) { Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed()) }
		write(settingsText)
		current, err := platform.LoadSettings(path)
		Expect(err).NotTo(HaveOccurred())
		applied := make(chan []string, 8)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() {
			WatchSettings(ctx, current, quietLog(), func(s *platform.Settings) { applied <- s.Seeds })
			close(ended)
		}()
		hangUp := func() []string {
			Expect(syscall.Kill(os.Getpid(), syscall.SIGHUP)).To(Succeed())
			select {
			case seeds := <-applied:
				return seeds
			default:
				return nil
			}
		}
		write("node_name: [broken")
		Consistently(hangUp, "100ms").Should(BeNil())
		write(strings.Replace(settingsText, "127.0.0.1:1", "127.0.0.1:9", 1))
		Eventually(hangUp, patience).Should(Equal([]string{"127.0.0.1:9"}))
		cancel()
		Eventually(ended, patience).Should(BeClosed())
	})
})
