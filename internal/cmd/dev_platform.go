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

// Sizes of the fleet that dev starts on stand-ins of the users' platform.
const (
	devEngines       = 3
	devModels        = 4
	devPlatformBoxes = 2
	// devEvents is how many events a streamed answer has.
	devEvents = 8
)

// runPlatformMode runs stand-ins of the users' platform (its store, engines and a plain service) and boxes in
// front of them. It prints example requests, and sends them with --once.
func (c *devCommand) runPlatformMode(ctx context.Context, log *zap.Logger, out output) error {
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
	defer func() { _ = os.RemoveAll(folder) }() // A failure is ignored: the files are in the temporary folder.
	boxesCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	var boxes sync.WaitGroup
	defer boxes.Wait()
	defer stop()
	var front string
	for n := range devPlatformBoxes {
		box, err := standin.FreeBox(fmt.Sprintf("front-%d", n))
		if err != nil {
			return err
		}
		path, err := fleet.WriteSettings(folder, box, nil)
		if err != nil {
			return err
		}
		boxes.Go(func() {
			if err := platform.Run(boxesCtx, platform.Options{SettingsFile: path, LeaseTTL: devLeaseTTL, Log: log}); err != nil {
				_, _ = fmt.Fprintln(out.errors, err)
			}
		})
		if err := awaitReady(ctx, box.Readiness); err != nil {
			return err
		}
		front = box.Front
	}
	_, _ = fmt.Fprintf(out, "%d boxes before %d engines and a plain service\n\n", devPlatformBoxes, devEngines)
	return c.runExamples(ctx, front, out)
}

// Durations of dev in platform mode.
const (
	// devLeaseTTL is how long the order lease lasts without a renewal: the shortest that node accepts.
	devLeaseTTL = minOrderLeaseTTL
	// devReadyTimeout is the timeout for the start of a box, devReadyInterval the time between two checks.
	devReadyTimeout  = 10 * time.Second
	devReadyInterval = 50 * time.Millisecond
	// devRequestTimeout is the timeout for one request with its retries: a model that no engine holds is loaded
	// first. devRetryInterval is the time between two attempts.
	devRequestTimeout = 15 * time.Second
	devRetryInterval  = 200 * time.Millisecond
)

// awaitReady waits until a box is ready. Until then its page cannot be reached or answers 503, which is
// not reported.
func awaitReady(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, devReadyTimeout)
	defer cancel()
	for ctx.Err() == nil {
		response, err := http.Get("http://" + address + "/ready")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(devReadyInterval)
	}
	return errors.Annotatef(ctx.Err(), "waiting for %s", address)
}

// platformExample is one request that dev prints; model may be empty.
type platformExample struct {
	description, path, model string
}

var platformExamples = []platformExample{
	{"a plain request", standin.SafePath + "1", ""},
	{"a stream of a model that an engine holds", standin.StreamPath + "1", standin.ModelName(0)},
	{"an adapter that is paged in", standin.StreamPath + "2", standin.ModelName(1) + "/a1"},
	{"a model that is loaded first", standin.StreamPath + "3", standin.ModelName(devModels - 1)},
}

// runExamples prints the examples. With --once it also sends them; without, it waits until ctx ends.
func (c *devCommand) runExamples(ctx context.Context, front string, out output) error {
	for n, example := range platformExamples {
		curl := standin.Curl(front, fmt.Sprint("try-", n), example.path, example.model)
		_, _ = fmt.Fprintf(out, "%s:\n  %s\n", example.description, curl)
		if !c.Once {
			continue
		}
		text, err := example.send(ctx, front, n)
		if err != nil {
			return errors.Annotate(err, example.description)
		}
		_, _ = fmt.Fprintf(out, "  %s\n", strings.ReplaceAll(strings.TrimSpace(text), "\n", "\n  "))
	}
	if !c.Once {
		<-ctx.Done()
	}
	return nil
}

// send sends the example until it is served or devRequestTimeout has passed. It retries after a refusal, since a
// model may still be loading.
func (e platformExample) send(ctx context.Context, front string, n int) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, devRequestTimeout)
	defer cancel()
	lastErr := errors.New("not tried")
	for attempt := 0; ctx.Err() == nil; attempt++ {
		reply, err := standin.Ask(ctx, front, fmt.Sprintf("dev-%d-%d", n, attempt), e.path, e.model)
		if err != nil {
			return "", errors.Trace(err)
		}
		if reply.Status == http.StatusOK {
			return reply.Body, nil
		}
		lastErr = errors.Errorf("status %d: %s", reply.Status, strings.TrimSpace(reply.Body))
		time.Sleep(devRetryInterval)
	}
	return "", lastErr
}
