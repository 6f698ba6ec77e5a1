package cmd

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/platform"
	"ospreymoor.example/ospreymoor/platform/standin"
)

// Sizes of the fleet that dev starts on the platform's stand-ins.
const (
	devEngines       = 3
	devModels        = 4
	devPlatformBoxes = 2
	// devEvents is how many events answer a stream.
	devEvents = 8
)

// runOnPlatform runs stand-ins of the users' platform (its store, engines and a plain service) with
// boxes before them, and sends requests or shows how to.
func (c *devCommand) runOnPlatform(ctx context.Context, log *zap.Logger, out output) error {
	fleet, err := standin.StartFleet(standin.FleetOptions{
		Engines: devEngines, Models: devModels, Events: devEvents, Gap: devTokenTime,
	})
	if err != nil {
		return err
	}
	defer fleet.Stop()
	folder, err := os.MkdirTemp("", "ospreymoor-dev-")
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = os.RemoveAll(folder) }() // What stays of it lies in the system's temporary folder.
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	var boxes sync.WaitGroup
	defer boxes.Wait()
	defer stop()
	var front string
	for n := range devPlatformBoxes {
		box, err := standin.FreeBox(fmt.Sprintf("front-%d", n))
		if err != nil {
			return err
		}
		path, err := fleet.Settings(folder, box, nil)
		if err != nil {
			return err
		}
		boxes.Go(func() {
			if err := platform.Run(running, platform.Options{SettingsFile: path, LeaseTTL: devLeaseTTL, Log: log}); err != nil {
				_, _ = fmt.Fprintln(out.errors, err)
			}
		})
		if err := awaitReady(ctx, box.Readiness); err != nil {
			return err
		}
		front = box.Front
	}
	_, _ = fmt.Fprintf(out, "%d boxes before %d engines and a plain service\n\n", devPlatformBoxes, devEngines)
	return c.tryPlatform(ctx, front, out)
}

// Times of dev.
const (
	// devLeaseTTL is how long the order lease lasts without a renewal: the least that node takes.
	devLeaseTTL = minOrderLeaseTTL
	// devReadyTime bounds the start of a box, devReadyPause is the time between two looks.
	devReadyTime  = 10 * time.Second
	devReadyPause = 50 * time.Millisecond
	// devTryTime bounds the tries of one request: a model that no engine holds is loaded first.
	// devTryPause is the time between two tries.
	devTryTime  = 15 * time.Second
	devTryPause = 200 * time.Millisecond
)

// awaitReady waits until a box is ready. Before, its page cannot be reached or answers 503: neither
// is reported.
func awaitReady(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, devReadyTime)
	defer cancel()
	for ctx.Err() == nil {
		response, err := http.Get("http://" + address + "/ready")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(devReadyPause)
	}
	return errors.Annotatef(ctx.Err(), "waiting for %s", address)
}

// platformExample is one request that dev shows; model may be empty.
type platformExample struct {
	about, path, model string
}

var platformExamples = []platformExample{
	{"a plain request", standin.SafePath + "1", ""},
	{"a stream of a model that an engine holds", standin.StreamPath + "1", standin.ModelName(0)},
	{"an adapter that is paged in", standin.StreamPath + "2", standin.ModelName(1) + "/a1"},
	{"a model that is loaded first", standin.StreamPath + "3", standin.ModelName(devModels - 1)},
}

// tryPlatform prints the examples. With --once it sends them too; without, it waits for ctx.
func (c *devCommand) tryPlatform(ctx context.Context, front string, out output) error {
	for n, example := range platformExamples {
		curl := standin.Curl(front, fmt.Sprint("try-", n), example.path, example.model)
		_, _ = fmt.Fprintf(out, "%s:\n  %s\n", example.about, curl)
		if !c.Once {
			continue
		}
		text, err := example.send(ctx, front, n)
		if err != nil {
			return errors.Annotate(err, example.about)
		}
		_, _ = fmt.Fprintf(out, "  %s\n", strings.ReplaceAll(strings.TrimSpace(text), "\n", "\n  "))
	}
	if !c.Once {
		<-ctx.Done()
	}
	return nil
}

// send sends the example until it is served. A refusal is tried again: a model may be loading.
func (e platformExample) send(ctx context.Context, front string, n int) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, devTryTime)
	defer cancel()
	last := errors.New("not tried")
	for try := 0; ctx.Err() == nil; try++ {
		reply, err := standin.Ask(ctx, front, fmt.Sprintf("dev-%d-%d", n, try), e.path, e.model)
		if err != nil {
			return "", errors.Trace(err)
		}
		if reply.Status == http.StatusOK {
			return reply.Body, nil
		}
		last = errors.Errorf("status %d: %s", reply.Status, strings.TrimSpace(reply.Body))
		time.Sleep(devTryPause)
	}
	return "", last
}
