package box

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"google.golang.org/protobuf/types/known/timestamppb"

	ospreymoorv1 "ospreymoor.example/ospreymoor/internal/gen/ospreymoor/v1"
	"ospreymoor.example/ospreymoor/pkg/bundle"
	"ospreymoor.example/ospreymoor/pkg/burn"
	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/placement"
)

// operatorServer serves the operators of customers over Connect. They sign off, roll and retire bundles.
type operatorServer struct {
	// tokens holds the SHA-256 of each operator's token, in hex, by customer.
	tokens   map[string]string
	registry *bundle.Registry
	inForce  *bundlesInForce
	follower *storeFollower
	burn     *burnReports
	counters *requestCounters
	set      *metrics.Set
}

// CheckBundle checks a bundle's text.
func (s *operatorServer) CheckBundle(_ context.Context, r *connect.Request[ospreymoorv1.CheckBundleRequest]) (*connect.Response[ospreymoorv1.CheckBundleResponse], error) {
	customer, err := s.authenticate(r.Header())
	if err != nil {
		return nil, err
	}
	text, err := s.parse(customer, r.Msg.GetYaml())
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&ospreymoorv1.CheckBundleResponse{
		Customer: text.Customer,
		Version:  text.Version,
		Models:   uint32(len(text.Models)),
		Adapters: uint32(len(text.Adapters)),
		Services: uint32(len(text.Services)),
	}), nil
}

// SignOffBundle stores a bundle version, which cannot be changed afterwards.
func (s *operatorServer) SignOffBundle(ctx context.Context, r *connect.Request[ospreymoorv1.SignOffBundleRequest]) (*connect.Response[ospreymoorv1.SignOffBundleResponse], error) {
	customer, err := s.authenticate(r.Header())
	if err != nil {
		return nil, err
	}
	text, err := s.parse(customer, r.Msg.GetYaml())
	if err != nil {
		return nil, err
	}
	digest, err := s.registry.SignOff(ctx, text, []byte(r.Msg.GetYaml()))
	if err != nil {
		return nil, operatorError(err)
	}
	return connect.NewResponse(&ospreymoorv1.SignOffBundleResponse{
		Customer: text.Customer,
		Version:  text.Version,
		Digest:   digest,
	}), nil
}

// RollBundle puts a version in force.
func (s *operatorServer) RollBundle(ctx context.Context, r *connect.Request[ospreymoorv1.RollBundleRequest]) (*connect.Response[ospreymoorv1.RollBundleResponse], error) {
	generation, err := s.changeTable(ctx, r.Header(), r.Msg.GetVersion(), s.registry.Roll)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&ospreymoorv1.RollBundleResponse{Generation: generation}), nil
}

// RetireBundle takes the version in force out of service.
func (s *operatorServer) RetireBundle(ctx context.Context, r *connect.Request[ospreymoorv1.RetireBundleRequest]) (*connect.Response[ospreymoorv1.RetireBundleResponse], error) {
	generation, err := s.changeTable(ctx, r.Header(), r.Msg.GetVersion(), s.registry.Retire)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&ospreymoorv1.RetireBundleResponse{Generation: generation}), nil
}

// changeTable changes the table in force for the operator's customer, and then reads the change into this box.
func (s *operatorServer) changeTable(ctx context.Context, header http.Header, version uint64, update func(context.Context, string, uint64) (int64, error)) (int64, error) {
	customer, err := s.authenticate(header)
	if err != nil {
		return 0, err
	}
	generation, err := update(ctx, customer, version)
	if err != nil {
		return 0, operatorError(err)
	}
	s.fetchChange(ctx)
	return generation, nil
}

// ListBundles lists the bundle versions of the operator's customer.
func (s *operatorServer) ListBundles(ctx context.Context, r *connect.Request[ospreymoorv1.ListBundlesRequest]) (*connect.Response[ospreymoorv1.ListBundlesResponse], error) {
	customer, err := s.authenticate(r.Header())
	if err != nil {
		return nil, err
	}
	list, err := s.registry.List(ctx, customer)
	if err != nil {
		return nil, operatorError(err)
	}
	answer := &ospreymoorv1.ListBundlesResponse{}
	if f := s.inForce.current.Load(); f != nil {
		answer.Generation = f.generation
	}
	for _, b := range list {
		answer.Bundles = append(answer.Bundles, &ospreymoorv1.BundleSummary{
			Customer: b.Customer,
			Version:  b.Version,
			State:    b.State,
			Digest:   b.Digest,
		})
	}
	return connect.NewResponse(answer), nil
}

// GetBurn reports the service level of the models of the operator's customer, over all boxes.
func (s *operatorServer) GetBurn(ctx context.Context, r *connect.Request[ospreymoorv1.GetBurnRequest]) (*connect.Response[ospreymoorv1.GetBurnResponse], error) {
	customer, err := s.authenticate(r.Header())
	if err != nil {
		return nil, err
	}
	snapshots, boxes, missing := s.burn.gather(ctx)
	answer := &ospreymoorv1.GetBurnResponse{Boxes: boxes, Missing: missing}
	since := time.Now()
	for _, snapshot := range snapshots {
		if snapshot.Since.Before(since) {
			since = snapshot.Since
		}
	}
	answer.Since = timestamppb.New(since)
	for _, status := range burn.Report(snapshots, time.Now()) {
		if status.Customer == customer {
			answer.Lines = append(answer.Lines, burnLine(status))
		}
	}
	return connect.NewResponse(answer), nil
}

// burnLine returns one line of the burn report.
func burnLine(s burn.Status) *ospreymoorv1.BurnLine {
	return &ospreymoorv1.BurnLine{
		Model:        s.Model,
		Objective:    s.Objective,
		Requests:     s.Requests,
		WithinTarget: s.Within,
		Failed:       s.Failed,
		Refused:      s.Refused,
		BudgetLeft:   s.BudgetLeft,
		BurnShort:    s.BurnShort,
		BurnLong:     s.BurnLong,
	}
}

// authenticate returns the customer whose operator's token the request carries.
func (s *operatorServer) authenticate(header http.Header) (string, error) {
	token, ok := bearerToken(header)
	if !ok {
		return "", s.refuseToken(remedyToken)
	}
	sum := sha256.Sum256([]byte(token))
	found := ""
	for customer, digest := range s.tokens {
		// `ospreymoor serve` checks that the digest is hex. One that is not matches no token.
		want, err := hex.DecodeString(digest)
		if err == nil && subtle.ConstantTimeCompare(sum[:], want) == 1 {
			found = customer
		}
	}
	if found == "" {
		return "", s.refuseToken("no --operator setting names this token")
	}
	return found, nil
}

// refuseToken counts and returns the refusal of a request without a known token.
func (s *operatorServer) refuseToken(remedy string) error {
	refused := notRun(connect.CodeUnauthenticated, reasonToken, remedy, 0)
	s.counters.countRefusalMetric("", refused)
	return refused.connectError()
}

// parse parses a bundle's text. The bundle must belong to the operator's customer.
func (s *operatorServer) parse(customer, yaml string) (*bundle.Bundle, error) {
	text, err := bundle.Parse("bundle", []byte(yaml))
	if err != nil {
		return nil, operatorError(err)
	}
	if text.Customer != customer {
		return nil, operatorError(errors.Annotatef(bundle.ErrInvalid, "bundle of customer %s: use the token of its operators", text.Customer))
	}
	return text, nil
}

// fetchChange reads a change made by this box from the store at once. If that fails, the change arrives as on all
// other boxes.
func (s *operatorServer) fetchChange(ctx context.Context) {
	if _, err := s.follower.read(ctx); err != nil {
		s.set.GetOrCreateCounter("ospreymoor_fetch_failures_total").Inc()
	}
}

// operatorError gives an error the Connect code that tells operators whether to correct the request, try it again or
// look up what came of it.
func operatorError(err error) error {
	code := connect.CodeInternal
	switch {
	case errors.Is(err, bundle.ErrInvalid):
		code = connect.CodeInvalidArgument
	case errors.Is(err, bundle.ErrNotSignedOff):
		code = connect.CodeNotFound
	case errors.Is(err, bundle.ErrVersionUsed), errors.Is(err, bundle.ErrOlder),
		errors.Is(err, bundle.ErrNotInForce), errors.Is(err, bundle.ErrTokenUsed), errors.Is(err, placement.ErrNoRoom):
		code = connect.CodeFailedPrecondition
	case errors.Is(err, kv.ErrUnknown):
		code = connect.CodeUnknown
	case errors.Is(err, kv.ErrUnavailable), errors.Is(err, kv.ErrBudget):
		code = connect.CodeUnavailable
	}
	return connect.NewError(code, err)
}
