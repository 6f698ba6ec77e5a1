package endtoend

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"regexp"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"ospreymoor.example/ospreymoor/internal/standin"
)

// process is one process that a test started.
type process struct {
	session *gexec.Session
	// address is host:port of its listener; peer that of a box's peer listener.
	address string
	peer    string
}

// listening finds the address in the first line of a stand-in.
var listening = regexp.MustCompile(`listening on (\S+)`)

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

// logEntry is a line of a box's log, as far as specs read it.
type logEntry struct {
	Msg string
	// Listen and Peer are the addresses of a line "serving".
	Listen, Peer string
	// Key and Held are of a line "lease".
	Key  string
	Held bool
}

// logged lists the lines with a message in a box's log, oldest first.
func (p *process) logged(message string) []logEntry {
	var entries []logEntry
	for _, line := range strings.Split(string(p.session.Err.Contents()), "\n") {
		var entry logEntry
		// The last line may be half written; lines that are not JSON are not of the log.
		if json.Unmarshal([]byte(line), &entry) == nil && entry.Msg == message {
			entries = append(entries, entry)
		}
	}
	return entries
}

// findAddresses reads the addresses from the box's log, and reports whether they are there yet.
func (p *process) findAddresses() bool {
	entries := p.logged("serving")
	if len(entries) == 0 {
		return false
	}
	p.address, p.peer = entries[0].Listen, entries[0].Peer
	return true
}

// holdsLease reports whether a box holds a lease, by the last line of its log about it.
func (p *process) holdsLease(key string) bool {
	held := false
	for _, entry := range p.logged("lease") {
		if entry.Key == key {
			held = entry.Held
		}
	}
	return held
}

func (p *process) signal(signal syscall.Signal) { p.session.Signal(signal) }

// ready reports whether a box is ready; one that can't be asked is not.
func (p *process) ready() bool {
	response, err := http.Get("http://" + p.address + "/readyz")
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}

// metric reads one of a box's counters or gauges: -1 if the box can't be asked, 0 if it has none
// of the name yet. Specs poll it.
func (p *process) metric(name string) float64 {
	response, err := http.Get("http://" + p.address + "/metrics")
	if err != nil {
		return -1
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return -1
	}
	for _, line := range strings.Split(string(text), "\n") {
		var value float64
		if rest, ok := strings.CutPrefix(line, name+" "); ok {
			_, err := fmt.Sscan(rest, &value)
			Expect(err).NotTo(HaveOccurred())
			return value
		}
	}
	return 0
}

// record reads what an engine stand-in recorded.
func (p *process) record() standin.Record {
	var record standin.Record
	p.readRecord(&record)
	return record
}

// runs reads how many times a service stand-in ran each body.
func (p *process) runs() map[string]int {
	var runs map[string]int
	p.readRecord(&runs)
	return runs
}

// readRecord reads a stand-in's record into a value.
func (p *process) readRecord(into any) {
	response, err := http.Get("http://" + p.address + "/standin/record")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	Expect(json.NewDecoder(response.Body).Decode(into)).To(Succeed())
}

// command runs the binary to its end and returns its output.
func command(arguments ...string) (string, int) {
	session := start(arguments...)
	session.Wait(30 * time.Second)
	return string(session.Out.Contents()) + string(session.Err.Contents()), session.ExitCode()
}

// exitWith matches a session that has ended with a code.
var exitWith = gexec.Exit
