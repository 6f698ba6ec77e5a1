package logging_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
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

// blockedWriter blocks every write until open is closed.
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

// fixture is a logger whose writer is blocked until out.open is closed.
type fixture struct {
	set  *metrics.Set
	out  *blockedWriter
	sink *logging.Sink
	log  *zap.Logger
}

func newFixture() *fixture {
	f := &fixture{set: metrics.NewSet(), out: &blockedWriter{open: make(chan struct{})}}
	f.sink = logging.NewSink(f.out, f.set)
	f.log = logging.New(zapcore.InfoLevel, f.sink, f.set)
	return f
}

var _ = Describe("a logger", func() {
	It("does not block while standard output is blocked, and keeps errors and lifecycle lines", func() {
		spectest.Bubble(func() {
			f := newFixture()
			begun := time.Now()
			for range 20 {
				for kind := range 1000 {
					f.log.Info(strings.Repeat("x", kind%7) + string(rune('a'+kind%26)))
				}
			}
			for range 100_000 {
				f.log.Info("one kind")
			}
			f.log.Error("an error")
			logging.Lifecycle(f.sink).Info("stop")
			Expect(time.Since(begun)).To(BeZero(), "logging took time")
			close(f.out.open)
			f.sink.Close()
			Expect(f.out.String()).To(ContainSubstring(`"msg":"an error"`))
			Expect(f.out.String()).To(ContainSubstring(`"msg":"stop"`))
			var text bytes.Buffer
			f.set.WritePrometheus(&text)
			Expect(text.String()).To(MatchRegexp(`log_lines_dropped_total\{reason="queue full"\} [1-9]`))
			Expect(text.String()).To(MatchRegexp(`log_lines_dropped_total\{reason="too many of one kind"\} [1-9]`))
		})
	})

	It("limits how many lines with the same message it writes each second", func() {
		spectest.Bubble(func() {
			f := newFixture()
			close(f.out.open)
			for range 10_000 {
				f.log.Info("one kind")
			}
			f.log.Info("another kind")
			f.sink.Close()
			// The first 200, and every twentieth after them.
			Expect(strings.Count(f.out.String(), "one kind")).To(Equal(200 + 9800/20))
			Expect(f.out.String()).To(ContainSubstring("another kind"))
		})
	})

	It("stops waiting for a blocked writer after a second", func() {
		spectest.Bubble(func() {
			f := newFixture()
			f.log.Error("lost")
			synctest.Wait()
			begun := time.Now()
			f.sink.Close()
			Expect(time.Since(begun)).To(Equal(time.Second))
			close(f.out.open)
		})
	})
})
