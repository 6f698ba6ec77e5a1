package gateway

import (
	"time"

	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
)

// maxLoggedParts and maxLoggedPartBytes bound what a log line has of a prompt's parts.
const (
	maxLoggedParts     = 8
	maxLoggedPartBytes = 32
)

// sharedParts returns the parts of the prompt that other requests may share: all but the last, which belongs to the
// request or its session.
func (r *Request) sharedParts() []dispatch.PromptPart {
	if len(r.Prompt) == 0 {
		return nil
	}
	return r.Prompt[:len(r.Prompt)-1]
}

// partsField returns the log field with the shared parts of the request's prompt; nothing if it has none.
func (r *inflight) partsField() zap.Field {
	parts := r.request.sharedParts()
	if len(parts) == 0 {
		return zap.Skip()
	}
	var ids []string
	for _, part := range parts[:min(len(parts), maxLoggedParts)] {
		ids = append(ids, part.ID[:min(len(part.ID), maxLoggedPartBytes)])
	}
	return zap.Strings("parts", ids)
}

// writingField returns the log field with how long the upstream of the latest attempt has been writing events;
// nothing if it has written none.
func (r *inflight) writingField() zap.Field {
	if r.writingSince.IsZero() {
		return zap.Skip()
	}
	return zap.Duration("writing", time.Since(r.writingSince))
}
