package box

import (
	"crypto/sha256"
	"encoding/hex"

	"google.golang.org/protobuf/proto"

	ospreymoorv1 "ospreymoor.example/ospreymoor/internal/gen/ospreymoor/v1"
	"ospreymoor.example/ospreymoor/pkg/bundle"
)

// digestBytes is how many bytes of a SHA-256 a claim's digest keeps. At 128 bits, two requests do not collide by
// chance.
const digestBytes = 16

// modelRequest is one caller's request on a model, resolved against the bundle in force.
type modelRequest struct {
	caller caller
	model  bundle.Model
	// fullName is customer/model.
	fullName string
	// item names the model's weights. adapter names the adapter's weights, or is empty.
	item    string
	adapter string
	message *ospreymoorv1.GenerateRequest
	// refusedBy holds the engines that refused the request or failed while they ran it.
	refusedBy map[string]bool
}

// onceRequest returns what the claim of the request needs to know.
func (r *modelRequest) onceRequest() onceRequest {
	return onceRequest{
		customer:     r.caller.bundle.Customer,
		key:          r.message.GetRequestKey(),
		digest:       r.digest(),
		firstAttempt: r.message.GetFirstAttempt(),
	}
}

// digest returns the digest of what the request asks for. Whether it is the first attempt is not part of it.
func (r *modelRequest) digest() string {
	request := proto.CloneOf(r.message)
	request.FirstAttempt = false
	bytes, err := proto.MarshalOptions{Deterministic: true}.Marshal(request)
	if err != nil {
		return "" // Cannot happen, as the message was just decoded. An empty digest matches only another empty one.
	}
	sum := sha256.Sum256(bytes)
	return hex.EncodeToString(sum[:digestBytes])
}

// maxTokens returns how many tokens the answer may have: what was asked for, up to the bundle's limit.
func (r *modelRequest) maxTokens() uint32 {
	asked := r.message.GetMaxTokens()
	if asked == 0 || asked > r.model.MaxTokens {
		return r.model.MaxTokens
	}
	return asked
}
