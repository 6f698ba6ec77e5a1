package box

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"maps"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/juju/errors"

	"ospreymoor.example/ospreymoor/internal/engine"
	"ospreymoor.example/ospreymoor/internal/peer"
	"ospreymoor.example/ospreymoor/pkg/admission"
	"ospreymoor.example/ospreymoor/pkg/bundle"
	"ospreymoor.example/ospreymoor/pkg/burn"
	"ospreymoor.example/ospreymoor/pkg/membership"
	"ospreymoor.example/ospreymoor/pkg/routing"
)

// Headers of calls that may not be repeated.
const (
	headerRequestKey   = "Request-Key"
	headerFirstAttempt = "Request-First-Attempt"
)

const (
	// maxAnswerBytes bounds the answer of a call that may not be repeated, which is read
	// whole so that it can be given again.
	maxAnswerBytes = 1 << 20
	// serviceSlots is how many calls a plain service is taken to serve at once.
	serviceSlots = 64
	// copyBytes is the size of the pieces that an answer is copied in.
	copyBytes = 32 << 10
)

// connectionHeaders concern one connection only and are not passed on.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// plainTransport is the transport to plain HTTP servers.
func plainTransport(dial dialFunc) *http.Transport {
	return &http.Transport{
		DialContext:         dial,
		DisableCompression:  true,
		MaxIdleConnsPerHost: serviceSlots,
		IdleConnTimeout:     idleTime,
	}
}

// onceTransport gives each call a connection of its own, because a transport may send
// a call again when it finds the connection that it kept to be stale.
func onceTransport(dial dialFunc) *http.Transport {
	transport := plainTransport(dial)
	transport.DisableKeepAlives = true
	return transport
}

// dialFunc makes a connection.
type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// noRedirect hands redirects to the caller instead of following them.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// call is one caller's call of a plain service.
type call struct {
	caller  caller
	service bundle.Service
	path    string
	key     string // customer/service
	request *http.Request
	body    []byte
}

// serveService forwards /services/{service}/{path...}.
func (b *Box) serveService(w http.ResponseWriter, r *http.Request) {
	c, refused := b.resolveCall(w, r)
	if refused != nil {
		mayBeRetry := r.Header.Get(headerRequestKey) != "" && r.Header.Get(headerFirstAttempt) != "true"
		b.refuseCall(w, c, refused.unlessRetry(mayBeRetry))
		return
	}
	done, refused := b.admitCall(c)
	if refused != nil {
		answer, refused := b.refusedOrEarlier(r.Context(), c, refused)
		if refused != nil {
			b.refuseCall(w, c, refused)
			return
		}
		b.writeAnswer(w, c, answer)
		return
	}
	defer done()
	if c.notRepeatable() {
		b.callOnce(w, c)
		return
	}
	b.callRepeatable(w, c)
}

func (b *Box) resolveCall(w http.ResponseWriter, r *http.Request) (*call, *refusal) {
	who, refused := b.inForce.authenticate(r.Header)
	if refused != nil {
		return nil, refused
	}
	service, ok := who.bundle.Service(r.PathValue("service"))
	if !ok {
		return nil, notRun(connect.CodeNotFound, reasonNotFound, "no such service in the bundle in force; see bundle list", 0)
	}
	c := &call{
		caller:  who,
		service: service,
		path:    "/" + r.PathValue("path"),
		key:     who.bundle.Customer + "/" + service.Name,
		request: r,
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, b.config.MaxBody))
	if err != nil {
		return c, notRun(connect.CodeInvalidArgument, reasonBadRequest, "the body could not be read whole: "+err.Error(), 0)
	}
	c.body = body
	if c.notRepeatable() {
		if refused := checkKey(r.Header.Get(headerRequestKey)); refused != nil {
			return c, refused
		}
	}
	return c, nil
}

func (b *Box) admitCall(c *call) (func(), *refusal) {
	text := c.caller.bundle
	done, refused := b.admission.Admit(admission.Request{
		Customer: text.Customer,
		Weight:   text.Limits.Weight,
		Limits:   []admission.Limit{limit(text.Customer, text.Limits), limit(c.key, c.service.Limits)},
		Target:   durationOf(c.service.Timeout),
	})
	if refused != nil {
		return nil, admissionRefusal(refused)
	}
	return done, nil
}

// notRepeatable tells whether the bundle lists the call as one that may run at most once.
func (c *call) notRepeatable() bool {
	for _, listed := range c.service.NotRepeatable {
		if strings.EqualFold(listed.Method, c.request.Method) && strings.HasPrefix(c.path, listed.Path) {
			return true
		}
	}
	return false
}

// callRepeatable sends a call to one upstream after another, until one answers.
func (b *Box) callRepeatable(w http.ResponseWriter, c *call) {
	ctx, cancel := context.WithTimeout(c.request.Context(), durationOf(c.service.Timeout))
	defer cancel()
	b.retries.Request()
	mayHaveRun := false
	for attempt := 1; ; attempt++ {
		upstream, refused := b.chooseService(c)
		if refused != nil {
			b.refuseCall(w, c, refused)
			return
		}
		ended := b.router.Sent(c.key, "", upstream.ID)
		response, err := b.send(ctx, b.plain, c, upstream)
		if err == nil {
			b.copyAnswer(w, c, response)
			ended()
			return
		}
		ended()
		mayHaveRun = mayHaveRun || !engine.IsDialError(err)
		b.router.Failed(upstream.ID, avoidTime)
		if ctx.Err() != nil || attempt == maxAttempts || !b.retries.Retry() {
			b.refuseCall(w, c, exhausted(mayHaveRun))
			return
		}
	}
}

// chooseService picks an upstream of the service's pool, one of this hall if there is any.
func (b *Box) chooseService(c *call) (membership.Box, *refusal) {
	f := b.fleet.snapshot.Load()
	byID := map[string]membership.Box{}
	var list []routing.Candidate
	for _, box := range f.services[c.service.Pool] {
		if box.Leaving || b.view.IsLeaving(box.ID) {
			continue
		}
		candidate := routing.Candidate{ID: box.ID, Slots: serviceSlots, Reported: time.Now()}
		if box.Hall != b.config.Hall {
			candidate.Distance = b.config.HallDistance
		}
		byID[box.ID] = box
		list = append(list, candidate)
	}
	picked, err := b.router.Pick(c.key, "", list)
	if err != nil {
		return membership.Box{}, notRun(connect.CodeUnavailable, reasonNoUpstream, "no upstream runs the service at the moment", comeBack)
	}
	return byID[picked.ID], nil
}

// send sends a call to an upstream and returns the head of its answer.
func (b *Box) send(ctx context.Context, client *http.Client, c *call, upstream membership.Box) (*http.Response, error) {
	target := url.URL{Scheme: "http", Host: upstream.Address, Path: c.path, RawQuery: c.request.URL.RawQuery}
	request, err := http.NewRequestWithContext(ctx, c.request.Method, target.String(), bytes.NewReader(c.body))
	if err != nil {
		return nil, errors.Trace(err)
	}
	request.Header = passedOn(c.request.Header)
	request.Header.Del("Authorization")
	request.Header.Set("Customer", c.caller.bundle.Customer)
	return client.Do(request)
}

// copyAnswer hands an answer on as it comes. An answer that breaks off breaks the
// caller's connection too: it must never look whole.
func (b *Box) copyAnswer(w http.ResponseWriter, c *call, response *http.Response) {
	defer func() { _ = response.Body.Close() }()
	maps.Copy(w.Header(), passedOn(response.Header))
	w.WriteHeader(response.StatusCode)
	buffer := make([]byte, copyBytes)
	if _, err := io.CopyBuffer(flushing{w, http.NewResponseController(w)}, response.Body, buffer); err != nil {
		b.count(c.caller.bundle.Customer, c.service.Name, bundle.DefaultObjective, unknown(reasonBrokenOff, ""))
		panic(http.ErrAbortHandler)
	}
	b.servedCall(c)
}

// callOnce sends a call that may not be repeated, or answers what an earlier attempt got.
func (b *Box) callOnce(w http.ResponseWriter, c *call) {
	ctx, cancel := context.WithTimeout(c.request.Context(), durationOf(c.service.Timeout))
	defer cancel()
	answer, refused := b.answerOnce(ctx, c)
	if refused != nil {
		b.refuseCall(w, c, refused)
		return
	}
	b.writeAnswer(w, c, answer)
}

// writeAnswer hands a whole answer to the caller.
func (b *Box) writeAnswer(w http.ResponseWriter, c *call, answer *peer.Answer) {
	maps.Copy(w.Header(), answer.Header)
	w.WriteHeader(answer.Status)
	if _, err := w.Write(answer.Body); err == nil {
		b.servedCall(c)
	}
}

func (b *Box) servedCall(c *call) {
	b.burn.Record(c.caller.bundle.Customer, c.service.Name, bundle.DefaultObjective, burn.WithinTarget, "")
}

func (b *Box) refuseCall(w http.ResponseWriter, c *call, r *refusal) {
	if c != nil {
		b.count(c.caller.bundle.Customer, c.service.Name, bundle.DefaultObjective, r)
	} else {
		b.countRefused("", r)
	}
	r.write(w)
}

// digest of what the call asks for.
func (c *call) digest() string {
	sum := sha256.New()
	for _, part := range []string{c.request.Method, c.service.Name, c.path, c.request.URL.RawQuery} {
		_, _ = io.WriteString(sum, part+"\x00")
	}
	_, _ = sum.Write(c.body)
	return hex.EncodeToString(sum.Sum(nil)[:16])
}

// passedOn is a header without what concerns one connection only.
func passedOn(header http.Header) http.Header {
	passed := header.Clone()
	for _, listed := range header.Values("Connection") {
		for _, name := range strings.Split(listed, ",") {
			passed.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		passed.Del(name)
	}
	return passed
}

// flushing writes each piece through to the caller at once.
type flushing struct {
	http.ResponseWriter
	controller *http.ResponseController
}

// Write writes and flushes.
func (f flushing) Write(p []byte) (int, error) {
	n, err := f.ResponseWriter.Write(p)
	_ = f.controller.Flush()
	return n, err
}
