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

// operatorServer serves the operators of customers, who sign off, roll and retire bundles, over Connect.
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
	customer, err := s.operator(r.Header())
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

// SignOffBundle stores a bundle version for good.
func (s *operatorServer) SignOffBundle(ctx context.Context, r *connect.Request[ospreymoorv1.SignOffBundleRequest]) (*connect.Response[ospreymoorv1.SignOffBundleResponse], error) {
	customer, err := s.operator(r.Header())
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
	generation, err := s.change(ctx, r.Header(), r.Msg.GetVersion(), s.registry.Roll)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&ospreymoorv1.RollBundleResponse{Generation: generation}), nil
}

// RetireBundle takes the version in force out of service.
func (s *operatorServer) RetireBundle(ctx context.Context, r *connect.Request[ospreymoorv1.RetireBundleRequest]) (*connect.Response[ospreymoorv1.RetireBundleResponse], error) {
	generation, err := s.change(ctx, r.Header(), r.Msg.GetVersion(), s.registry.Retire)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&ospreymoorv1.RetireBundleResponse{Generation: generation}), nil
}

// change changes the table in force for the operator's customer, and takes the change in here.
func (s *operatorServer) change(ctx context.Context, header http.Header, version uint64, do func(context.Context, string, uint64) (int64, error)) (int64, error) {
	customer, err := s.operator(header)
	if err != nil {
		return 0, err
	}
	generation, err := do(ctx, customer, version)
	if err != nil {
		return 0, operatorError(err)
	}
	s.fetchChange(ctx)
	return generation, nil
}

// ListBundles lists the operator's own versions.
func (s *operatorServer) ListBundles(ctx context.Context, r *connect.Request[ospreymoorv1.ListBundlesRequest]) (*connect.Response[ospreymoorv1.ListBundlesResponse], error) {
	customer, err := s.operator(r.Header())
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

// GetBurn reports the service level of the operator's own models over all boxes.
func (s *operatorServer) GetBurn(ctx context.Context, r *connect.Request[ospreymoorv1.GetBurnRequest]) (*connect.Response[ospreymoorv1.GetBurnResponse], error) {
	customer, err := s.operator(r.Header())
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

// burnLine is one line of the burn report.
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

// operator finds the customer whose operator's token was sent.
func (s *operatorServer) operator(header http.Header) (string, error) {
	token, ok := bearerToken(header)
	if !ok {
		return "", s.refuseToken(remedyToken)
	}
	sum := sha256.Sum256([]byte(token))
	found := ""
	for customer, digest := range s.tokens {
		// A digest that is no hex matches no token; `ospreymoor serve` has checked it.
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

// refuseToken counts a request without a known token and refuses it.
func (s *operatorServer) refuseToken(remedy string) error {
	refused := notRun(connect.CodeUnauthenticated, reasonToken, remedy, 0)
	s.counters.refused("", refused)
	return refused.connectError()
}

// parse reads a bundle's text, which must be of the operator's customer.
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

// fetchChange takes a change of this box's own in at once. If that fails, the change comes as it comes to all boxes.
func (s *operatorServer) fetchChange(ctx context.Context) {
	if _, err := s.follower.read(ctx); err != nil {
		s.set.GetOrCreateCounter("ospreymoor_fetch_failures_total").Inc()
	}
}

// operatorError gives an error the code by which operators know whether to correct, try again or look up.
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
