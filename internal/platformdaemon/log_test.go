package platformdaemon

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
)

// lockedBuffer is a bytes.Buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (b *lockedBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(data)
}

func (b *lockedBuffer) lines() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Count(b.data.String(), "\n")
}

var _ = Describe("log", func() {
	newLog := func(output *lockedBuffer) *logrus.Entry {
		logger := logrus.New()
		logger.SetOutput(newBoundedWriter(output, func() time.Time { return time.Unix(1, 0) }))
		return logrus.NewEntry(logger)
	}

	It("loses no line of a planned stop at the end of the process", func() {
		output := &lockedBuffer{}
		log := newLog(output)
		liftLogRate(log)
		const lines = 2 * maxLinesPerSecond
		for i := range lines {
			log.Info(fmt.Sprint("line ", i))
		}
		flushLog(log)
		Expect(output.lines()).To(Equal(lines))
	})

	It("says at the end how many lines the rate has dropped", func() {
		output := &lockedBuffer{}
		log := newLog(output)
		for range maxLinesPerSecond + 7 {
			log.Info("line")
		}
		flushLog(log)
		Expect(output.lines()).To(Equal(maxLinesPerSecond + 1))
		Expect(output.data.String()).To(ContainSubstring(`"lines":7`))
	})
})
