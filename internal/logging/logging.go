// Package logging writes structured log lines without ever blocking the code that logs.
//
// Lines go through a bounded queue to one writer. If the queue is full, or lines with the same message
// come too often, lines are dropped and counted. Warnings, errors and the lines of a process's start and
// stop have a separate queue, which ordinary lines can't fill.
//
// The package owns the queues and the writer, and relies on zap for the format and the sampling of lines.
// `ospreymoor node` uses it; `ospreymoor serve` logs to zap directly.
package logging

import (
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Limits of the queues, the writer and the sampling.
const (
	// queueLength is the number of lines that each of the two queues holds.
	queueLength = 4096
	// batchBytes is the size at which a batch is written without adding more lines.
	batchBytes = 64 << 10
	// linesPerSecond is how many lines with the same message are written each second. Of further lines in that
	// second, one in everyNth is written.
	linesPerSecond = 200
	everyNth       = 20
	// flushTime is how long Close waits for the writer at most.
	flushTime = time.Second
)

// Sink queues lines and writes them in the background. It is safe for concurrent use.
type Sink struct {
	out     io.Writer
	dropped *metrics.Counter

	ordinary  chan []byte
	important chan []byte
	closing   chan struct{}
	done      chan struct{}
	closeOnce sync.Once
}

// NewSink returns a sink that writes to out until Close. The set gets a counter of lines that full queues dropped.
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

// New returns a logger that writes lines of a level and above to the sink. The set gets a counter of the lines
// dropped by sampling.
func New(level zapcore.Level, sink *Sink, set *metrics.Set) *zap.Logger {
	encoder := newEncoder()
	sampledOut := set.GetOrCreateCounter(`ospreymoor_log_lines_dropped_total{reason="too many of one kind"}`)
	ordinary := zapcore.NewSamplerWithOptions(
		zapcore.NewCore(encoder, queue{sink, sink.ordinary}, between(level, zapcore.InfoLevel)),
		time.Second, linesPerSecond, everyNth,
		zapcore.SamplerHook(func(_ zapcore.Entry, decision zapcore.SamplingDecision) {
			if decision&zapcore.LogDropped != 0 {
				sampledOut.Inc()
			}
		}))
	important := zapcore.NewCore(encoder, queue{sink, sink.important}, between(max(level, zapcore.WarnLevel), zapcore.FatalLevel))
	return zap.New(zapcore.NewTee(ordinary, important))
}

// Lifecycle returns a logger for the lines of a process's start, stop and reload, which are never
// dropped by sampling.
func Lifecycle(sink *Sink) *zap.Logger {
	return zap.New(zapcore.NewCore(newEncoder(), queue{sink, sink.important}, zapcore.InfoLevel))
}

// newEncoder returns an encoder of lines as JSON, with times in RFC 3339 and durations in seconds.
func newEncoder() zapcore.Encoder {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.EncodeDuration = zapcore.SecondsDurationEncoder
	return zapcore.NewJSONEncoder(config)
}

// between enables the levels from lowest to highest, both included.
func between(lowest, highest zapcore.Level) zap.LevelEnablerFunc {
	return func(level zapcore.Level) bool { return level >= lowest && level <= highest }
}

// queue is one of a sink's two queues, as a zapcore.WriteSyncer.
type queue struct {
	sink  *Sink
	lines chan []byte
}

// Write queues a copy of one line, since zap reuses its buffer. It drops the line if the queue is
// full.
func (q queue) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	select {
	case q.lines <- copied:
	default:
		q.sink.dropped.Inc()
	}
	return len(line), nil
}

// Sync does nothing: lines are written in the background.
func (queue) Sync() error { return nil }

// run writes the queued lines in batches. A failed write is not reported, since there is no other place to log it.
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

// gather adds queued lines to a batch, important ones first, until the batch is full or both queues are empty.
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

// Close writes the queued lines and waits for this for at most flushTime. Lines logged later are lost.
func (s *Sink) Close() {
	s.closeOnce.Do(func() { close(s.closing) })
	select {
	case <-s.done:
	case <-time.After(flushTime):
	}
}
