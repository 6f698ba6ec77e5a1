package endtoend

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"

	"ospreymoor.example/ospreymoor/pkg/membership"
)

const gib = 1 << 30

// fleet is a small fleet of real processes. The maps are by id.
type fleet struct {
	platform *process
	engines  map[string]*process
	services map[string]*process
	boxes    map[string]*process
}

// engineSpec describes an engine stand-in: its memory in bytes, and the time that it takes for each token.
type engineSpec struct {
	id, hall string
	memory   int64
	unfenced bool
	token    time.Duration
}

// startFleet starts a platform, and a plain service in each hall. Boxes and engines are added later.
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

// startStandin starts a stand-in of a kind on a free port, and waits until it listens.
func (f *fleet) startStandin(kind string, arguments ...string) *process {
	session := start(append([]string{"standin", kind, "--listen", "127.0.0.1:0"}, arguments...)...)
	Eventually(session.Out, 20*time.Second).Should(gbytes.Say("listening on"))
	address := listening.FindStringSubmatch(string(session.Out.Contents()))[1]
	return &process{session: session, address: address}
}

// addEngine starts an engine stand-in and puts it on the platform's box list.
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

// addBox starts an entry box, waits until it serves and puts it on the platform's box list.
func (f *fleet) addBox(id, hall string, arguments ...string) {
	sum := sha256.Sum256([]byte(operatorToken))
	all := append([]string{
		"serve", "--id", id, "--hall", hall, "--platform", "http://" + f.platform.address,
		"--listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0",
		"--operator", "acme=" + hex.EncodeToString(sum[:]),
		"--lease-ttl", "3s", "--order-life", "4s", "--drain-notice", "300ms", "--beat-interval", "300ms",
		"--kv-reads", "500", "--kv-writes", "200", "--spare-engines", "0",
	}, arguments...)
	p := &process{session: start(all...)}
	Eventually(func() bool { return p.findAddresses() }, 20*time.Second).Should(BeTrue())
	f.boxes[id] = p
	f.register(membership.Box{ID: id, Kind: membership.KindEntry, Hall: hall, Address: p.peer})
}

// register puts a box on the platform's box list.
func (f *fleet) register(box membership.Box) {
	body, err := json.Marshal(box)
	Expect(err).NotTo(HaveOccurred())
	request, err := http.NewRequest(http.MethodPut, "http://"+f.platform.address+"/boxes/"+box.ID, bytes.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	response, err := http.DefaultClient.Do(request)
	Expect(err).NotTo(HaveOccurred())
	Expect(response.Body.Close()).To(Succeed())
}

// setPlatformMode sets the mode of the platform stand-in: up, down or lost.
func (f *fleet) setPlatformMode(mode string) {
	response, err := http.Post("http://"+f.platform.address+"/standin/mode?mode="+mode, "", nil)
	Expect(err).NotTo(HaveOccurred())
	Expect(response.Body.Close()).To(Succeed())
}

// startTwoHalls starts two halls, each with a box and an engine, and a bundle in force.
func startTwoHalls(models ...string) *fleet {
	f := startFleet("hall-1", "hall-2")
	for _, hall := range []string{"hall-1", "hall-2"} {
		f.addEngine(engineSpec{id: hall + "-engine", hall: hall, memory: 64 * gib})
		f.addBox(hall+"-box", hall)
	}
	roll(f.boxes["hall-1-box"], bundleText(1, "a", "8GiB", models...))
	for _, b := range f.boxes {
		awaitModels(b, models...)
	}
	return f
}

// controllerOf returns the box that holds a hall's lease, and another box.
func (f *fleet) controllerOf(hall string) (controller, other *process) {
	Eventually(func() *process {
		for _, b := range f.boxes {
			if b.holdsLease("leases/hall/" + hall) {
				controller = b
			}
		}
		return controller
	}, 20*time.Second).ShouldNot(BeNil())
	for _, b := range f.boxes {
		if b != controller {
			other = b
		}
	}
	return controller, other
}

// overcommitted counts the loads that exceeded an engine's memory.
func (f *fleet) overcommitted() int {
	n := 0
	for _, e := range f.engines {
		n += e.record().Overcommitted
	}
	return n
}

// startsOf counts how often a prompt was started on all engines together.
func (f *fleet) startsOf(prompt string) int {
	n := 0
	for _, e := range f.engines {
		n += e.record().Prompts[prompt]
	}
	return n
}

// startOneHall starts a hall with two boxes and two engines, and a bundle in force.
func startOneHall(engine engineSpec, memory string, models ...string) *fleet {
	f := startFleet("hall-1")
	for _, id := range []string{"e1", "e2"} {
		engine.id, engine.hall = id, "hall-1"
		f.addEngine(engine)
	}
	for _, id := range []string{"b1", "b2"} {
		f.addBox(id, "hall-1")
	}
	roll(f.boxes["b1"], bundleText(1, "w1", memory, models...))
	for _, b := range f.boxes {
		awaitModels(b, models...)
	}
	return f
}
