package endtoend

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
	"github.com/onsi/gomega/gexec"

	ospreymoorv1 "ospreymoor.example/ospreymoor/internal/gen/ospreymoor/v1"
	"ospreymoor.example/ospreymoor/internal/gen/ospreymoor/v1/ospreymoorv1connect"
	"ospreymoor.example/ospreymoor/internal/standin"
	"ospreymoor.example/ospreymoor/pkg/membership"
)

// Tokens of the test customers.
const (
	operatorToken = "acme-operator"
	callerToken   = "acme-caller"
)

// process is one process that a test started.
type process struct {
	session *gexec.Session
	address string
	peer    string
}

// fleet is a small fleet of real processes.
type fleet struct {
	platform *process
	engines  map[string]*process
	services map[string]*process
	boxes    map[string]*process
}

// engineSpec says what an engine is like.
type engineSpec struct {
	id, hall string
	memory   int64
	unfenced bool
	token    time.Duration
}

var listening = regexp.MustCompile(`listening on (\S+)`)

// startFleet starts a platform and a plain service in each hall; boxes and engines follow.
func startFleet(halls ...string) *fleet {
	f := &fleet{engines: map[string]*process{}, services: map[string]*process{}, boxes: map[string]*process{}}
	f.platform = f.startStandin("platform")
	for _, hall := range halls {
		id := hall + "-portal"
		f.services[id] = f.startStandin("service")
		f.register(membership.Box{ID: id, Kind: membership.KindService, Hall: hall, Pool: "portal", Address: f.services[id].address})
	}
	return f
}

// start runs the binary; the process is killed at the test's end if it still runs.
func start(arguments ...string) *gexec.Session {
	session, err := gexec.Start(exec.Command(binary, arguments...), nil, nil)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() {
		_ = session.Command.Process.Signal(syscall.SIGCONT)
		session.Kill().Wait(10 * time.Second)
	})
	return session
}

func (f *fleet) startStandin(kind string, arguments ...string) *process {
	session := start(append([]string{"standin", kind, "--listen", "127.0.0.1:0"}, arguments...)...)
	Eventually(session.Out, 20*time.Second).Should(gbytes.Say("listening on"))
	address := listening.FindStringSubmatch(string(session.Out.Contents()))[1]
	return &process{session: session, address: address}
}

func (f *fleet) addEngine(spec engineSpec) {
	arguments := []string{"--memory", fmt.Sprint(spec.memory), "--slots", "8"}
	if spec.unfenced {
		arguments = append(arguments, "--unfenced")
	}
	if spec.token > 0 {
		arguments = append(arguments, "--token-time", spec.token.String())
	}
	p := f.startStandin("engine", arguments...)
	f.engines[spec.id] = p
	f.register(membership.Box{
		ID: spec.id, Kind: membership.KindEngine, Hall: spec.hall, Pool: "llm", Address: p.address,
		Fenced: !spec.unfenced, Memory: spec.memory, Slots: 8,
	})
}

// addBox starts an entry box and waits until it serves.
func (f *fleet) addBox(id, hall string, arguments ...string) {
	sum := sha256.Sum256([]byte(operatorToken))
	all := append([]string{
		"serve", "--id", id, "--hall", hall, "--platform", "http://" + f.platform.address,
		"--listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0",
		"--operator", "acme=" + hex.EncodeToString(sum[:]),
		"--lease-ttl", "3s", "--order-life", "4s", "--drain-notice", "300ms", "--beat-interval", "300ms",
		"--kv-reads", "500", "--kv-writes", "200", "--spare-engines", "0",
	}, arguments...)
	session := start(all...)
	p := &process{session: session}
	Eventually(func() bool { return p.findAddresses() }, 20*time.Second).Should(BeTrue())
	f.boxes[id] = p
	f.register(membership.Box{ID: id, Kind: membership.KindEntry, Hall: hall, Address: p.peer})
}

// findAddresses reads the addresses from the box's log.
func (p *process) findAddresses() bool {
	for _, line := range strings.Split(string(p.session.Err.Contents()), "\n") {
		var entry struct{ Msg, Listen, Peer string }
		if json.Unmarshal([]byte(line), &entry) == nil && entry.Msg == "serving" {
			p.address, p.peer = entry.Listen, entry.Peer
			return true
		}
	}
	return false
}

func (f *fleet) register(box membership.Box) {
	body, err := json.Marshal(box)
	Expect(err).NotTo(HaveOccurred())
	request, err := http.NewRequest(http.MethodPut, "http://"+f.platform.address+"/boxes/"+box.ID, bytes.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	response, err := http.DefaultClient.Do(request)
	Expect(err).NotTo(HaveOccurred())
	Expect(response.Body.Close()).To(Succeed())
}

// platformMode takes up, down or lost.
func (f *fleet) platformMode(mode string) {
	response, err := http.Post("http://"+f.platform.address+"/standin/mode?mode="+mode, "", nil)
	Expect(err).NotTo(HaveOccurred())
	Expect(response.Body.Close()).To(Succeed())
}

func (p *process) signal(signal syscall.Signal) { p.session.Signal(signal) }

func (p *process) ready() bool {
	response, err := http.Get("http://" + p.address + "/readyz")
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}

// metric reads one of a box's counters or gauges.
func (p *process) metric(name string) float64 {
	response, err := http.Get("http://" + p.address + "/metrics")
	if err != nil {
		return -1
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(response.Body)
	for _, line := range strings.Split(string(text), "\n") {
		var value float64
		if rest, ok := strings.CutPrefix(line, name+" "); ok {
			_, _ = fmt.Sscan(rest, &value)
			return value
		}
	}
	return 0
}

// record reads what an engine noted.
func (p *process) record() standin.Record {
	var record standin.Record
	p.readRecord(&record)
	return record
}

// runs reads how often a service ran each body.
func (p *process) runs() map[string]int {
	var runs map[string]int
	p.readRecord(&runs)
	return runs
}

func (p *process) readRecord(into any) {
	response, err := http.Get("http://" + p.address + "/standin/record")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	Expect(json.NewDecoder(response.Body).Decode(into)).To(Succeed())
}

func (p *process) inference() ospreymoorv1connect.InferenceServiceClient {
	return ospreymoorv1connect.NewInferenceServiceClient(http.DefaultClient, "http://"+p.address)
}

// complete sends a request and returns the whole answer.
func (p *process) complete(ctx context.Context, request *ospreymoorv1.GenerateRequest) (string, error) {
	message := connect.NewRequest(&ospreymoorv1.CompleteRequest{Request: request})
	message.Header().Set("Authorization", "Bearer "+callerToken)
	answer, err := p.inference().Complete(ctx, message)
	if err != nil {
		return "", err
	}
	return answer.Msg.GetText(), nil
}

// outcome is what a refusal says of a request.
func outcome(err error) ospreymoorv1.Outcome {
	var answer *connect.Error
	if !asConnect(err, &answer) {
		return ospreymoorv1.Outcome_OUTCOME_UNSPECIFIED
	}
	for _, detail := range answer.Details() {
		if value, err := detail.Value(); err == nil {
			if refusal, ok := value.(*ospreymoorv1.Refusal); ok {
				return refusal.GetOutcome()
			}
		}
	}
	return ospreymoorv1.Outcome_OUTCOME_UNSPECIFIED
}

func asConnect(err error, target **connect.Error) bool {
	if err == nil {
		return false
	}
	e, ok := err.(*connect.Error)
	*target = e
	return ok
}

// bundleYAML is a bundle of test models, each of so many bytes of memory.
func bundleYAML(version int, weights string, memory string, models ...string) string {
	sum := sha256.Sum256([]byte(callerToken))
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "customer: acme\nversion: %d\ncallers:\n  - name: caller\n    token-sha256: %x\nmodels:\n", version, sum)
	for _, model := range models {
		_, _ = fmt.Fprintf(&b, "  - name: %s\n    weights: %s-%s\n    memory: %s\n    first-token: 20s\n    between-tokens: 1s\n", model, model, weights, memory)
	}
	b.WriteString("services:\n  - name: portal\n    pool: portal\n    not-repeatable:\n      - method: POST\n        path: /reports\n")
	return b.String()
}

// command runs the binary to its end and returns its output.
func command(arguments ...string) (string, int) {
	session := start(arguments...)
	session.Wait(30 * time.Second)
	return string(session.Out.Contents()) + string(session.Err.Contents()), session.ExitCode()
}

// operate runs a bundle command on a text against a box.
func operate(p *process, verb, yaml string) (string, int) {
	file := filepath.Join(GinkgoT().TempDir(), "bundle.yaml")
	Expect(os.WriteFile(file, []byte(yaml), 0o600)).To(Succeed())
	return command("bundle", verb, file, "--box", "http://"+p.address, "--token", operatorToken)
}

// roll signs a text off and puts it in force.
func roll(p *process, yaml string) {
	out, code := operate(p, "sign-off", yaml)
	Expect(code).To(Equal(0), out)
	Eventually(func() string {
		out, code := operate(p, "roll", yaml)
		if code == 0 {
			return ""
		}
		return out
	}, 40*time.Second, 200*time.Millisecond).Should(BeEmpty())
}

// awaitModels waits until each model answers at a box.
func awaitModels(p *process, models ...string) {
	for _, model := range models {
		Eventually(func() error {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			_, err := p.complete(ctx, &ospreymoorv1.GenerateRequest{Model: model, Prompt: "ready?", MaxTokens: 1})
			return err
		}, 60*time.Second, 100*time.Millisecond).Should(Succeed())
	}
}

// history collects what concurrent callers saw.
type history[T any] struct {
	mu     sync.Mutex
	events []T
}

func (h *history[T]) add(event T) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events = append(h.events, event)
}

func (h *history[T]) all() []T {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]T(nil), h.events...)
}

// exitWith matches a session that has ended with a code.
var exitWith = gexec.Exit

func dial(address string) net.Conn {
	conn, err := net.DialTimeout("tcp", address, 5*time.Second)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(conn.Close)
	return conn
}
