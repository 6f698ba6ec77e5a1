// Package logging writes structured lines without ever blocking those who log.
//
// Lines go through a bounded queue to one writer. Where the queue is full, or one kind of line
// comes too often, lines are dropped and counted; warnings, errors and the lines of a process's
// start and stop have a queue of their own, which ordinary lines can't fill.
package logging

import (
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// queueLength is how many lines wait for the writer at most, of each of the two kinds.
	queueLength = 4096
	// batchBytes is how much is written at once.
	batchBytes = 64 << 10
	// linesPerSecond of one message are always written, and then one in everyNth.
	linesPerSecond = 200
	everyNth       = 20
	// flushTime bounds how long Close waits for the writer.
	flushTime = time.Second
)

// Sink takes lines and writes them in the background.
type Sink struct {
	out     io.Writer
	dropped *metrics.Counter

	ordinary  chan []byte
	important chan []byte
	closing   chan struct{}
	done      chan struct{}
	closeOnce sync.Once
}

// NewSink returns a sink that writes to out; Close ends it.
func NewSink(out io.Writer, set *metrics.Set) *Sink {
	s := &Sink{
		out:       out,
		dropped:   set.GetOrCreateCounter(`ospreymoor_log_lines_dropped_total{reason="queue full"}`),
		ordinary:  make(chan []byte, queueLength),
		important: make(chan []byte, queueLength),
		closing:   make(chan struct{}),
		done:      make(chan struct{}),
	}
	go s.run()
	return s
}

// New returns a logger of a level that writes to the sink.
func New(level zapcore.Level, sink *Sink, set *metrics.Set) *zap.Logger {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.EncodeDuration = zapcore.SecondsDurationEncoder
	encoder := zapcore.NewJSONEncoder(config)
	thinned := set.GetOrCreateCounter(`ospreymoor_log_lines_dropped_total{reason="too many of one kind"}`)
	ordinary := zapcore.NewSamplerWithOptions(
		zapcore.NewCore(encoder, queue{sink, sink.ordinary}, between(level, zapcore.InfoLevel)),
		time.Second, linesPerSecond, everyNth,
		zapcore.SamplerHook(func(_ zapcore.Entry, decision zapcore.SamplingDecision) {
			if decision&zapcore.LogDropped != 0 {
				thinned.Inc()
			}
		}))
	important := zapcore.NewCore(encoder, queue{sink, sink.important}, between(max(level, zapcore.WarnLevel), zapcore.FatalLevel))
	return zap.New(zapcore.NewTee(ordinary, important))
}

// Lifecycle returns a logger for the lines of a process's start, stop and reload, which are
// never thinned out.
func Lifecycle(sink *Sink) *zap.Logger {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.EncodeDuration = zapcore.SecondsDurationEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(config), queue{sink, sink.important}, zapcore.InfoLevel))
}

func between(lowest, highest zapcore.Level) zap.LevelEnablerFunc {
	return func(level zapcore.Level) bool { return level >= lowest && level <= highest }
}

// queue is one of a sink's two queues as zap sees it.
type queue struct {
	sink  *Sink
	lines chan []byte
}

// Write takes one line, or drops it if the queue is full.
func (q queue) Write(line []byte) (int, error) {
	kept := append([]byte(nil), line...)
	select {
	case q.lines <- kept:
	default:
		q.sink.dropped.Inc()
	}
	return len(line), nil
}

// Sync does nothing: lines are written as soon as the writer takes them.
func (queue) Sync() error { return nil }

// run writes lines, as many at once as there are.
func (s *Sink) run() {
	defer close(s.done)
	var batch []byte
	for {
		select {
		case line := <-s.important:
			batch = append(batch, line...)
		case line := <-s.ordinary:
			batch = append(batch, line...)
		case <-s.closing:
			_, _ = s.out.Write(s.gather(batch))
			return
		}
		_, _ = s.out.Write(s.gather(batch))
		batch = batch[:0]
	}
}

// gather adds the lines that wait, important ones first.
func (s *Sink) gather(batch []byte) []byte {
	for len(batch) < batchBytes {
		select {
		case line := <-s.important:
			batch = append(batch, line...)
			continue
		default:
		}
		select {
		case line := <-s.ordinary:
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}

// Close writes what waits, for a bounded time. Lines logged later are lost.
func (s *Sink) Close() {
	s.closeOnce.Do(func() { close(s.closing) })
	select {
	case <-s.done:
	case <-time.After(flushTime):
	}
}
