package main

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// engineArgument is the first argument of this program where it is a single engine, which a case may kill.
const engineArgument = "engine"

// The streams of an engine that is a process of its own.
const (
	processPrefill = 40 * time.Millisecond
	processEvents  = 58
	processGap     = 40 * time.Millisecond
	// unframedOf: one answer in so many has no length while the engine is told so: share 0.05.
	unframedOf = 20
)

// runEngine is an engine until it is killed. SIGUSR1 has it send some answers without a length, SIGUSR2 ends that. It
// writes a line for the begin and the end of each run.
func runEngine(id, address, model string) int {
	var garbling atomic.Bool
	var answers atomic.Int64
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGUSR1, syscall.SIGUSR2)
	go func() {
		for s := range signals {
			garbling.Store(s == syscall.SIGUSR1)
		}
	}()
	var mu sync.Mutex
	say := func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		fmt.Printf(format+"\n", args...)
	}
	e := &engine{id: id, address: address, models: []map[string]any{{"name": model, "version": 1, "adapters": []string{}}}}
	e.serve = func(c *engineConn, r *http.Request, body []byte) bool {
		unframed := garbling.Load() && answers.Add(1)%unframedOf == 0
		request := r.Header.Get("X-Ospreymoor-Request-Id")
		say("runs %s, without a length: %v", request, unframed)
		made, whole := streamFrom(c, r, processPrefill, processEvents, processGap, unframed)
		say("ends %s after event %d, whole: %v", request, made, whole)
		return whole && !unframed
	}
	if err := e.listen(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	say("listens")
	select {}
}

// engineProcess is an engine that is a process of its own.
type engineProcess struct {
	engine
	process *exec.Cmd

	state   sync.Mutex
	running map[string]bool
}

// startProcess starts the engine's process at its address, and writes its entry to the store.
func (e *engineProcess) startProcess(p *play, model string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	e.running = map[string]bool{}
	e.process = exec.Command(self, engineArgument, e.id, e.address, model)
	e.process.Stderr = os.Stderr
	e.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	output, err := e.process.StdoutPipe()
	if err != nil {
		return err
	}
	if err := e.process.Start(); err != nil {
		return err
	}
	listens := make(chan struct{})
	go func() {
		for lines := bufio.NewScanner(output); lines.Scan(); {
			word, rest, _ := strings.Cut(lines.Text(), " ")
			request, _, _ := strings.Cut(strings.TrimSuffix(rest, ","), " ")
			request = strings.TrimSuffix(request, ",")
			e.state.Lock()
			switch word {
			case "listens":
				close(listens)
			case "runs":
				e.running[request] = true
			case "ends":
				delete(e.running, request)
			}
			e.state.Unlock()
			p.note("engine %s %s", e.id, lines.Text())
		}
	}()
	select {
	case <-listens:
	case <-time.After(5 * time.Second):
		return fmt.Errorf("engine %s does not listen", e.id)
	}
	e.models = []map[string]any{{"name": model, "version": 1, "adapters": []string{}}}
	e.register(p.store)
	return nil
}

// kill kills the engine's process, and returns how many runs that ended. Its entry in the store goes after three
// heartbeats of silence.
func (e *engineProcess) kill(s *store) int {
	_ = e.process.Process.Kill()
	_ = e.process.Wait()
	time.AfterFunc(3*1200*time.Millisecond, func() { s.drop("servers/" + e.id) })
	e.state.Lock()
	defer e.state.Unlock()
	return len(e.running)
}
