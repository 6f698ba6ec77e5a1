package logging_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"ospreymoor.example/ospreymoor/internal/logging"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

func TestLogging(t *testing.T) { spectest.Run(t, "Logging") }

// blockedWriter takes nothing until it is opened.
type blockedWriter struct {
	open chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.open
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

func (w *blockedWriter) String() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.String()
}

var _ = Describe("a logger", func() {
	var (
		set  *metrics.Set
		out  *blockedWriter
		sink *logging.Sink
		log  *zap.Logger
	)
	BeforeEach(func() {
		set = metrics.NewSet()
		out = &blockedWriter{open: make(chan struct{})}
		sink = logging.NewSink(out, set)
		log = logging.New(zapcore.InfoLevel, sink, set)
	})

	It("never blocks, and keeps errors and the lines of a stop when standard output is blocked", func() {
		begun := time.Now()
		for range 20 {
			for kind := range 1000 {
				log.Info(strings.Repeat("x", kind%7) + string(rune('a'+kind%26)))
			}
		}
		for range 100_000 {
			log.Info("one kind")
		}
		log.Error("an error")
		logging.Lifecycle(sink).Info("stop")
		Expect(time.Since(begun)).To(BeNumerically("<", 5*time.Second))
		close(out.open)
		sink.Close()
		Expect(out.String()).To(ContainSubstring(`"msg":"an error"`))
		Expect(out.String()).To(ContainSubstring(`"msg":"stop"`))
		var text bytes.Buffer
		set.WritePrometheus(&text)
		Expect(text.String()).To(MatchRegexp(`log_lines_dropped_total\{reason="queue full"\} [1-9]`))
		Expect(text.String()).To(MatchRegexp(`log_lines_dropped_total\{reason="too many of one kind"\} [1-9]`))
	})

	It("bounds the lines of one kind in a second", func() {
		close(out.open)
		for range 10_000 {
			log.Info("one kind")
		}
		log.Info("another kind")
		sink.Close()
		Expect(strings.Count(out.String(), "one kind")).To(BeNumerically("<", 1500))
		Expect(out.String()).To(ContainSubstring("another kind"))
	})

	It("gives up on a writer that takes nothing", func() {
		log.Error("lost")
		begun := time.Now()
		sink.Close()
		Expect(time.Since(begun)).To(BeNumerically("<", 3*time.Second))
		close(out.open)
	})
})
