package box

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/juju/errors"
	"google.golang.org/protobuf/types/known/timestamppb"

	ospreymoorv1 "ospreymoor.example/ospreymoor/internal/gen/ospreymoor/v1"
	"ospreymoor.example/ospreymoor/internal/peer"
	"ospreymoor.example/ospreymoor/pkg/bundle"
	"ospreymoor.example/ospreymoor/pkg/burn"
	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/placement"
)

// operators serves those who sign off, roll and retire bundles.
type operators struct{ *Box }

// CheckBundle checks a bundle's text.
func (s operators) CheckBundle(_ context.Context, r *connect.Request[ospreymoorv1.CheckBundleRequest]) (*connect.Response[ospreymoorv1.CheckBundleResponse], error) {
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
func (s operators) SignOffBundle(ctx context.Context, r *connect.Request[ospreymoorv1.SignOffBundleRequest]) (*connect.Response[ospreymoorv1.SignOffBundleResponse], error) {
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
func (s operators) RollBundle(ctx context.Context, r *connect.Request[ospreymoorv1.RollBundleRequest]) (*connect.Response[ospreymoorv1.RollBundleResponse], error) {
	generation, err := s.change(ctx, r.Header(), r.Msg.GetVersion(), s.registry.Roll)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&ospreymoorv1.RollBundleResponse{Generation: generation}), nil
}

// RetireBundle takes the version in force out of service.
func (s operators) RetireBundle(ctx context.Context, r *connect.Request[ospreymoorv1.RetireBundleRequest]) (*connect.Response[ospreymoorv1.RetireBundleResponse], error) {
	generation, err := s.change(ctx, r.Header(), r.Msg.GetVersion(), s.registry.Retire)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&ospreymoorv1.RetireBundleResponse{Generation: generation}), nil
}

// change changes the table in force for the operator's customer, and takes the change in here.
func (s operators) change(ctx context.Context, header http.Header, version uint64, do func(context.Context, string, uint64) (int64, error)) (int64, error) {
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
func (s operators) ListBundles(ctx context.Context, r *connect.Request[ospreymoorv1.ListBundlesRequest]) (*connect.Response[ospreymoorv1.ListBundlesResponse], error) {
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
func (s operators) GetBurn(ctx context.Context, r *connect.Request[ospreymoorv1.GetBurnRequest]) (*connect.Response[ospreymoorv1.GetBurnResponse], error) {
	customer, err := s.operator(r.Header())
	if err != nil {
		return nil, err
	}
	snapshots, boxes, missing := s.gatherBurn(ctx)
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

// gatherBurn collects the counters of all boxes, and those that they keep of others.
func (b *Box) gatherBurn(ctx context.Context) (snapshots []burn.Snapshot, boxes, missing []string) {
	snapshots = append(b.keeper.Snapshots(), b.burn.Snapshot())
	boxes = []string{b.config.ID}
	for _, entry := range b.view.Entries() {
		callCtx, cancel := context.WithTimeout(ctx, peerCallTime)
		answer, err := peer.Call[peer.BurnResponse](callCtx, b.peers, entry.Address, peer.MethodBurn, peer.Empty{})
		cancel()
		if err != nil {
			missing = append(missing, entry.ID)
			continue
		}
		boxes = append(boxes, entry.ID)
		snapshots = append(snapshots, answer.Snapshots...)
	}
	return snapshots, boxes, missing
}

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
func (b *Box) operator(header http.Header) (string, error) {
	token, ok := strings.CutPrefix(header.Get("Authorization"), "Bearer ")
	if !ok {
		return "", b.operatorRefused("send the header Authorization: Bearer TOKEN")
	}
	sum := sha256.Sum256([]byte(token))
	found := ""
	for customer, digest := range b.config.Operators {
		want, err := hex.DecodeString(digest)
		if err == nil && subtle.ConstantTimeCompare(sum[:], want) == 1 {
			found = customer
		}
	}
	if found == "" {
		return "", b.operatorRefused("no --operator setting names this token")
	}
	return found, nil
}

func (b *Box) operatorRefused(remedy string) error {
	refused := notRun(connect.CodeUnauthenticated, reasonToken, remedy, 0)
	b.counters.refused("", refused)
	return refused.connectError()
}

func (b *Box) parse(customer, yaml string) (*bundle.Bundle, error) {
	text, err := bundle.Parse("bundle", []byte(yaml))
	if err != nil {
		return nil, operatorError(err)
	}
	if text.Customer != customer {
		return nil, operatorError(errors.Annotatef(bundle.ErrInvalid, "bundle of customer %s: use the token of its operators", text.Customer))
	}
	return text, nil
}

// fetchChange takes a change of this box's own in at once.
func (b *Box) fetchChange(ctx context.Context) {
	if _, err := b.readStore(ctx); err != nil {
		b.set.GetOrCreateCounter("ospreymoor_fetch_failures_total").Inc()
	}
}

// operatorError sorts an error for operators: what to correct, what to try again, what to look up.
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
