package box

import (
	"crypto/sha256"
	"encoding/hex"

	"google.golang.org/protobuf/proto"

	ospreymoorv1 "ospreymoor.example/ospreymoor/internal/gen/ospreymoor/v1"
	"ospreymoor.example/ospreymoor/pkg/bundle"
)

// digestBytes is how much of a SHA-256 a claim's digest keeps. 128 bits cannot collide by chance.
const digestBytes = 16

// modelRequest is one caller's request on a model, resolved against the bundle in force.
type modelRequest struct {
	caller caller
	model  bundle.Model
	// key is customer/model.
	key string
	// item is the model's weights, adapter the adapter's item or empty.
	item    string
	adapter string
	message *ospreymoorv1.GenerateRequest
	// refusedBy holds the engines that did not take the request, or failed under it.
	refusedBy map[string]bool
}

// once is the request as its claim knows it.
func (r *modelRequest) once() onceRequest {
	return onceRequest{
		customer:     r.caller.bundle.Customer,
		key:          r.message.GetRequestKey(),
		digest:       r.digest(),
		firstAttempt: r.message.GetFirstAttempt(),
	}
}

// digest of what the request asks for; whether it is the first attempt does not count.
func (r *modelRequest) digest() string {
	request := proto.CloneOf(r.message)
	request.FirstAttempt = false
	bytes, err := proto.MarshalOptions{Deterministic: true}.Marshal(request)
	if err != nil {
		return "" // A message that was just decoded encodes; an empty digest matches only another empty one.
	}
	sum := sha256.Sum256(bytes)
	return hex.EncodeToString(sum[:digestBytes])
}

// maxTokens is how many tokens the answer may have: what was asked for, up to the bundle's bound.
func (r *modelRequest) maxTokens() uint32 {
	asked := r.message.GetMaxTokens()
	if asked == 0 || asked > r.model.MaxTokens {
		return r.model.MaxTokens
	}
	return asked
}
