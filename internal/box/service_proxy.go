package box

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"

	"connectrpc.com/connect"
	"github.com/juju/errors"

	"ospreymoor.example/ospreymoor/internal/transport"
	"ospreymoor.example/ospreymoor/pkg/admission"
	"ospreymoor.example/ospreymoor/pkg/membership"
	"ospreymoor.example/ospreymoor/pkg/routing"
)

// serviceSlots is how many calls a plain service is assumed to serve at once.
const serviceSlots = 64

// serviceProxy forwards callers' calls to plain services over HTTP.
type serviceProxy struct {
	inForce   *bundlesInForce
	fleet     *fleetState
	router    *routing.Router
	admission *admission.Controller
	retries   *routing.RetryBudget
	claimed   *claimedRuns
	counters  *requestCounters
	// repeatableClient makes the calls that may be repeated. onceClient makes those that may not be, each on a
	// connection of its own.
	repeatableClient *http.Client
	onceClient       *http.Client
	// maxBodyBytes bounds a call's body in bytes.
	maxBodyBytes int64
}

// ServeHTTP forwards /services/{service}/{path...}.
func (s *serviceProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, refused := s.resolve(w, r)
	if refused != nil {
		mayBeRetry := r.Header.Get(headerRequestKey) != "" && !isFirstAttempt(r.Header)
		s.refuse(w, c, refused.unknownIfRetry(mayBeRetry))
		return
	}
	done, refused := s.admit(c)
	if refused != nil {
		if c.notRepeatable() {
			s.joinOrRefuse(w, c, refused)
			return
		}
		s.refuse(w, c, refused)
		return
	}
	defer done()
	if c.notRepeatable() {
		s.serveOnce(w, c)
		return
	}
	s.serveRepeatable(w, c)
}

// resolve finds the caller's customer and the service in the bundle in force, and reads the body. With a refusal it
// returns what is known of the call so far, or nil if the caller is not known.
func (s *serviceProxy) resolve(w http.ResponseWriter, r *http.Request) (*serviceCall, *refusal) {
	who, refused := s.inForce.authenticate(r.Header)
	if refused != nil {
		return nil, refused
	}
	service, ok := who.bundle.Service(r.PathValue("service"))
	if !ok {
		return nil, notRun(connect.CodeNotFound, reasonNotFound, "no such service in the bundle in force; see bundle list", 0)
	}
	c := &serviceCall{
		caller:   who,
		service:  service,
		path:     "/" + r.PathValue("path"),
		fullName: who.bundle.Customer + "/" + service.Name,
		request:  r,
	}
	if _, ok := upstreamURL("", c.path, r.RequestURI); !ok {
		return c, notRun(connect.CodeInvalidArgument, reasonBadRequest, fmt.Sprintf("request target %q can't be passed on as it is", r.RequestURI), 0)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.maxBodyBytes))
	if err != nil {
		return c, notRun(connect.CodeInvalidArgument, reasonBadRequest, "the body could not be read whole: "+err.Error(), 0)
	}
	c.body = body
	if c.notRepeatable() {
		if refused := checkRequestKey(r.Header.Get(headerRequestKey)); refused != nil {
			return c, refused
		}
	}
	return c, nil
}

// upstreamURL returns the URL of a call at an upstream: the path of the call, as it stands in the request target behind
// /services/{service}, and the query. ok is false if the HTTP library would write them otherwise.
func upstreamURL(address, path, requestTarget string) (result url.URL, ok bool) {
	whole, query, hasQuery := strings.Cut(requestTarget, "?")
	escaped := "/"
	if parts := strings.SplitN(whole, "/", 4); len(parts) == 4 {
		escaped += parts[3]
	}
	result = url.URL{Scheme: "http", Host: address, Path: path, RawPath: escaped, RawQuery: query, ForceQuery: hasQuery && query == ""}
	return result, result.EscapedPath() == escaped
}

// admit admits a call, or refuses it as overload. The rule is in pkg/admission. Plain services report no load, so
// only the bundle's limits apply. The caller must call done when the call has ended.
func (s *serviceProxy) admit(c *serviceCall) (done func(), refused *refusal) {
	text := c.caller.bundle
	done, overload := s.admission.Admit(admission.Request{
		Customer: text.Customer,
		Weight:   text.Limits.Weight,
		Limits:   []admission.Limit{limit(text.Customer, text.Limits), limit(c.fullName, c.service.Limits)},
		Target:   durationOf(c.service.Timeout),
	})
	if overload != nil {
		return nil, overloadRefusal(overload)
	}
	return done, nil
}

// choose picks an upstream of the service's pool, preferring this hall. The rule is in pkg/routing.
func (s *serviceProxy) choose(c *serviceCall) (membership.Box, *refusal) {
	list, byID := s.fleet.serviceCandidates(c.service.Pool)
	picked, err := s.router.Pick(c.fullName, "", list)
	if err != nil {
		return membership.Box{}, notRun(connect.CodeUnavailable, reasonNoUpstream, "no upstream runs the service at the moment", defaultRetryAfter)
	}
	return byID[picked.ID], nil
}

// send sends a call to an upstream and returns the response, whose body has yet to be read.
func (s *serviceProxy) send(ctx context.Context, client *http.Client, c *serviceCall, upstream membership.Box) (*http.Response, error) {
	target, _ := upstreamURL(upstream.Address, c.path, c.request.RequestURI) // resolve has refused those that change.
	request, err := http.NewRequestWithContext(ctx, c.request.Method, target.String(), bytes.NewReader(c.body))
	if err != nil {
		return nil, errors.Trace(err)
	}
	request.Header = endToEndHeaders(c.request.Header)
	request.Header.Del("Authorization")
	request.Header.Set("Customer", c.caller.bundle.Customer)
	return client.Do(transport.CheckHeads(request))
}

// refuse counts a refusal and answers the caller with it.
func (s *serviceProxy) refuse(w http.ResponseWriter, c *serviceCall, refused *refusal) {
	s.counters.countServiceRefusal(c, refused)
	refused.write(w)
}
