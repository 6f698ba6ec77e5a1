package dev

import (
	"bytes"
	"context"
	"net/http"
	"regexp"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/examples"
	enginev1 "ospreymoor.example/ospreymoor/internal/gen/ospreymoor/engine/v1"
	"ospreymoor.example/ospreymoor/internal/gen/ospreymoor/engine/v1/enginev1connect"
	ospreymoorv1 "ospreymoor.example/ospreymoor/internal/gen/ospreymoor/v1"
	"ospreymoor.example/ospreymoor/internal/gen/ospreymoor/v1/ospreymoorv1connect"
	"ospreymoor.example/ospreymoor/pkg/bundle"
)

const (
	// pieces is the number of pieces of one answer in these benchmarks.
	pieces = 64
	// openStreams is how many streams are held open at once.
	openStreams = 1000
)

// BenchmarkBox measures the overhead of a box: it gets the same answer directly from the engine stand-in
// and through a box, in one run, over TCP on loopback.
//
//	go test -run '^$' -bench Box ./internal/dev
func BenchmarkBox(b *testing.B) {
	f := startUnlimited(b, Options{Slots: 10 * openStreams, Log: zap.NewNop()})
	defer f.Stop()
	client := http2Client()
	inference := ospreymoorv1connect.NewInferenceServiceClient(client, f.baseURL(0))
	engine, item := f.engineHolding("masolatkereso/status-helper@status-helper-2026-04")
	direct := enginev1connect.NewEngineServiceClient(client, "http://"+engine)

	b.Run("direct", func(b *testing.B) {
		for b.Loop() {
			fromEngine(b, direct, item)
		}
	})
	b.Run("through-box", func(b *testing.B) {
		for b.Loop() {
			fromBox(b, inference)
		}
	})
	b.Run("tokens", func(b *testing.B) { measureTokens(b, inference, direct, item) })
}

// BenchmarkStreams measures memory at 1,000 open streams, each with a piece every 200 ms.
//
//	go test -run '^$' -bench Streams -benchtime 1x ./internal/dev
func BenchmarkStreams(b *testing.B) {
	f := startUnlimited(b, Options{Slots: 10 * openStreams, TokenTime: 200 * time.Millisecond, Log: zap.NewNop()})
	defer f.Stop()
	measureStreams(b, ospreymoorv1connect.NewInferenceServiceClient(http2Client(), f.baseURL(0)))
}

// startUnlimited starts a fleet with the examples in force, without their limits.
func startUnlimited(b *testing.B, options Options) *Fleet {
	f, err := Start(options)
	if err != nil {
		b.Fatal(err)
	}
	if err := f.RollExamples(b.Context()); err != nil {
		b.Fatal(err)
	}
	f.removeLimits(b)
	return f
}

// removeLimits puts new versions of the examples in force, without limits.
func (f *Fleet) removeLimits(b *testing.B) {
	for _, text := range [][]byte{examples.Masolatkereso, examples.SenVang} {
		changed := regexp.MustCompile(`requests-per-second: \d+`).ReplaceAll(text, []byte("requests-per-second: 0"))
		changed = bytes.Replace(changed, []byte("version: 1"), []byte("version: 2"), 1)
		changed = bytes.Replace(changed, []byte("in-flight: 200"), []byte("in-flight: 0"), 1)
		next, err := bundle.Parse("bench", changed)
		if err != nil {
			b.Fatal(err)
		}
		if err := f.roll(b.Context(), next, changed); err != nil {
			b.Fatal(err)
		}
	}
	time.Sleep(8 * time.Second) // Until they are in force at all boxes.
}

func http2Client() *http.Client {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{Protocols: &protocols}}
}

// engineHolding returns the address of an engine that holds an item, or "" if none does.
func (f *Fleet) engineHolding(item string) (address, name string) {
	for id, e := range f.engines {
		if e.Holds(item) {
			return f.addresses[id], item
		}
	}
	return "", item
}

func fromEngine(b *testing.B, client enginev1connect.EngineServiceClient, item string) {
	request := &enginev1.GenerateRequest{RequestId: uuid.NewString(), Model: item, Prompt: "x", MaxTokens: pieces}
	stream, err := client.Generate(context.Background(), connect.NewRequest(request))
	if err != nil {
		b.Fatal(err)
	}
	readWhole(b, stream)
}

func fromBox(b *testing.B, client ospreymoorv1connect.InferenceServiceClient) {
	request := &ospreymoorv1.GenerateRequest{Model: "status-helper", Prompt: "x", MaxTokens: pieces}
	stream, err := client.Generate(context.Background(), withToken("masolatkereso-writer", request))
	if err != nil {
		b.Fatal(err)
	}
	readWhole(b, stream)
}

// answerStream is the stream of an answer, from an engine or a box.
type answerStream interface {
	Receive() bool
	Err() error
	Close() error
}

// readWhole reads an answer to its end and checks that it is complete.
func readWhole(b *testing.B, stream answerStream) {
	n := 0
	for stream.Receive() {
		n++
	}
	if n != pieces+1 || stream.Err() != nil {
		b.Fatal(n, stream.Err())
	}
	_ = stream.Close()
}

// measureTokens measures the CPU time that a box adds to a token: the CPU time of the process for requests
// through a box, minus that for requests directly to the engine.
func measureTokens(b *testing.B, inference ospreymoorv1connect.InferenceServiceClient, direct enginev1connect.EngineServiceClient, item string) {
	const requests = 400
	cpuTimeOf := func(do func()) time.Duration {
		before := cpuTime()
		var running sync.WaitGroup
		for range 4 {
			running.Go(func() {
				for range requests / 4 {
					do()
				}
			})
		}
		running.Wait()
		return cpuTime() - before
	}
	var throughBox, directly time.Duration
	for b.Loop() {
		throughBox += cpuTimeOf(func() { fromBox(b, inference) })
		directly += cpuTimeOf(func() { fromEngine(b, direct, item) })
	}
	tokens := float64(b.N * requests * pieces)
	b.ReportMetric((throughBox-directly).Seconds()/tokens*1e6, "box-µs/token")
	b.ReportMetric(tokens/(throughBox-directly).Seconds(), "tokens/s/core")
}

// measureStreams keeps many streams open and measures the memory that they take in the process, for the
// caller, the box and the engine together.
func measureStreams(b *testing.B, inference ospreymoorv1connect.InferenceServiceClient) {
	for b.Loop() {
		before := heapInUse()
		ctx, cancel := context.WithCancel(context.Background())
		var open sync.WaitGroup
		for range openStreams {
			open.Go(func() {
				request := &ospreymoorv1.GenerateRequest{Model: "staff-assistant", Prompt: "x", MaxTokens: 1 << 30}
				if stream, err := inference.Generate(ctx, withToken("senvang-kiosks", request)); err == nil {
					for stream.Receive() {
					}
				}
			})
		}
		time.Sleep(3 * time.Second)
		b.ReportMetric((heapInUse()-before)/openStreams/1024, "kB/stream")
		b.ReportMetric(float64(runtime.NumGoroutine())/openStreams, "goroutines/stream")
		cancel()
		open.Wait()
	}
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func heapInUse() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapInuse + stats.StackInuse)
}
