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
	// address is the host:port of its listener, and peer that of a box's listener for other boxes.
	address string
	peer    string
}

// listening matches the address in the first output line of a stand-in.
var listening = regexp.MustCompile(`listening on (\S+)`)

// start starts the binary. A process that is still running at the end of the test is killed.
func start(arguments ...string) *gexec.Session {
	session, err := gexec.Start(exec.Command(binary, arguments...), nil, nil)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() {
		_ = session.Command.Process.Signal(syscall.SIGCONT)
		session.Kill().Wait(10 * time.Second)
	})
	return session
}

// logEntry holds the fields of a box's log line that specs read.
type logEntry struct {
	Msg string
	// Listen and Peer are the addresses in a "serving" line.
	Listen, Peer string
	// Key and Held are the fields of a "lease" line.
	Key  string
	Held bool
}

// logged returns the lines with a message in a box's log, oldest first.
func (p *process) logged(message string) []logEntry {
	var entries []logEntry
	for _, line := range strings.Split(string(p.session.Err.Contents()), "\n") {
		var entry logEntry
		// The last line may be incomplete. Lines that are not JSON do not belong to the log.
		if json.Unmarshal([]byte(line), &entry) == nil && entry.Msg == message {
			entries = append(entries, entry)
		}
	}
	return entries
}

// findAddresses reads the box's addresses from its log, and reports whether they were logged yet.
func (p *process) findAddresses() bool {
	entries := p.logged("serving")
	if len(entries) == 0 {
		return false
	}
	p.address, p.peer = entries[0].Listen, entries[0].Peer
	return true
}

// holdsLease reports whether a box holds a lease, according to the last log line about it.
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

// ready reports whether a box is ready. One that does not answer is not.
func (p *process) ready() bool {
	response, err := http.Get("http://" + p.address + "/readyz")
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}

// metric returns the value of a box's counter or gauge. It returns 0 if there is none of that name yet, and
// -1 if the box does not answer, so that specs can poll it.
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

// record returns what an engine stand-in recorded.
func (p *process) record() standin.Record {
	var record standin.Record
	p.readRecord(&record)
	return record
}

// runs returns how many times a service stand-in ran each request body.
func (p *process) runs() map[string]int {
	var runs map[string]int
	p.readRecord(&runs)
	return runs
}

// readRecord decodes a stand-in's record into a value.
func (p *process) readRecord(into any) {
	response, err := http.Get("http://" + p.address + "/standin/record")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	Expect(json.NewDecoder(response.Body).Decode(into)).To(Succeed())
}

// command runs the binary until it exits, and returns its output and exit code.
func command(arguments ...string) (string, int) {
	session := start(arguments...)
	session.Wait(30 * time.Second)
	return string(session.Out.Contents()) + string(session.Err.Contents()), session.ExitCode()
}

// exitWith returns a matcher of sessions that have ended with an exit code.
var exitWith = gexec.Exit
