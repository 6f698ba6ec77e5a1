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

// Sizes of the platform that dev shows.
const (
	devEngines  = 3
	devModels   = 4
	devMachines = 2
	devEvents   = 8
)

// runOnPlatform shows the path on the users' platform: stand-ins of its store, engines and a
// plain service, and two machines of the system before them.
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
	defer func() { _ = os.RemoveAll(folder) }()
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	var machines sync.WaitGroup
	defer machines.Wait()
	defer stop()
	var front string
	for n := range devMachines {
		machine, err := standin.FreeMachine(fmt.Sprintf("front-%d", n))
		if err != nil {
			return err
		}
		path, err := fleet.Settings(folder, machine, nil)
		if err != nil {
			return err
		}
		machines.Go(func() {
			if err := platform.Run(running, platform.Options{SettingsFile: path, LeaseTTL: devLeaseTTL, Log: log}); err != nil {
				_, _ = fmt.Fprintln(out.errors, err)
			}
		})
		if err := awaitReady(ctx, machine.Readiness); err != nil {
			return err
		}
		front = machine.Front
	}
	_, _ = fmt.Fprintf(out, "%d machines before %d engines and a plain service\n\n", devMachines, devEngines)
	return c.tryPlatform(ctx, front, out)
}

const (
	// devLeaseTTL is how long the order lease lasts in dev.
	devLeaseTTL = 3 * time.Second
	// devReadyTime bounds the start of a machine.
	devReadyTime = 10 * time.Second
	// devTryTime bounds the tries of one request: a model that nobody holds is loaded first.
	devTryTime = 15 * time.Second
)

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
		time.Sleep(50 * time.Millisecond)
	}
	return errors.Annotatef(ctx.Err(), "waiting for %s", address)
}

// platformExample is one request that dev shows.
type platformExample struct {
	about, path, model string
}

var platformExamples = []platformExample{
	{"a plain request", standin.SafePath + "1", ""},
	{"a stream of a model that an engine holds", standin.StreamPath + "1", standin.ModelName(0)},
	{"an adapter that is paged in", standin.StreamPath + "2", standin.ModelName(1) + "/a1"},
	{"a model that is loaded first", standin.StreamPath + "3", standin.ModelName(devModels - 1)},
}

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

// send sends the example until it is served: a refusal says when to come back.
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
		time.Sleep(200 * time.Millisecond)
	}
	return "", last
}
