package gateway

import (
	"time"

	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/quarantine"
)

// This file keeps requests away from upstreams while a shared part of their prompts crashes each upstream that begins to
// write an answer on it. No two such requests need be alike, so that quarantine of whole requests does not find them.

// soundAfter is how long an upstream must have written events to show that it does not crash under the prompt. Upstreams
// crash 0.04 to 0.2 s after they began to write.
const soundAfter = 300 * time.Millisecond

// partHistory holds what this box knows about upstreams that crashed under shared parts of a prompt.
type partHistory struct {
	// fingerprints identify the parts; nil until they are needed.
	fingerprints []quarantine.Fingerprint
	// verdict is the latest verdict on the parts.
	verdict quarantine.PartVerdict
	// probes means that the request may be sent to try a part on probation again.
	probes bool
	// answered means that the latest attempt was recorded as a sound answer.
	answered bool
}

// maxWatchedParts bounds the shared parts of a prompt that are watched. Prompts have a few.
const maxWatchedParts = 64

// partFingerprints returns the fingerprints of the prompt's shared parts, in order.
func (r *inflight) partFingerprints() []quarantine.Fingerprint {
	if r.parts.fingerprints == nil {
		parts := r.request.sharedParts()
		for _, part := range parts[:min(len(parts), maxWatchedParts)] {
			r.parts.fingerprints = append(r.parts.fingerprints, quarantine.PartFingerprint(part.ID))
		}
	}
	return r.parts.fingerprints
}

// recordPartCrash records that an upstream crashed during the latest attempt, unless its answer shows that the prompt is
// not the cause.
func (r *inflight) recordPartCrash(upstream string, at time.Time) {
	r.parts.probes = false
	if !r.writingSince.IsZero() && at.Sub(r.writingSince) >= soundAfter {
		return
	}
	r.gateway.CrashParts.NoteCrash(upstream, at, r.partFingerprints())
}

// notePartsAnswered records, once per attempt, that the upstream of the latest attempt began to write at the given time
// and did not crash under the prompt.
func (r *inflight) notePartsAnswered(begun time.Time) {
	if r.parts.answered || begun.IsZero() {
		return
	}
	r.parts.answered = true
	r.gateway.CrashParts.NoteAnswered(r.partFingerprints(), begun)
}

// partQuarantined returns the refusal of a request with a part in its prompt that is held, or nil if the request may be
// sent. Once a hold is over, a few requests try whether the part still crashes upstreams.
func (r *inflight) partQuarantined() *refusal {
	if len(r.request.sharedParts()) == 0 || r.gateway.CrashParts.Empty() {
		return nil
	}
	verdict := r.gateway.CrashParts.Verdict(r.partFingerprints())
	r.parts.verdict = verdict
	switch {
	case verdict.Held:
	case !verdict.Probation || r.parts.probes:
		return nil
	case r.gateway.CrashParts.TakeProbe(verdict.Part):
		r.parts.probes = true
		return nil
	}
	return r.refusalFor(reasonCrashPart, verdict.RetryAfter)
}

// partVerdictField returns the log field with what this box last knew about crashes under a part of the prompt; nothing
// if there were none.
func (r *inflight) partVerdictField() zap.Field {
	verdict := r.parts.verdict
	if verdict.Crashes == 0 {
		return zap.Skip()
	}
	return zap.Dict("crashPart", zap.String("id", r.partID(verdict.Part)), zap.Bool("held", verdict.Held), zap.Inline(verdict))
}

// partID returns the id of a shared part by its fingerprint, cut to what a log line may have.
func (r *inflight) partID(part quarantine.Fingerprint) string {
	for n, fingerprint := range r.partFingerprints() {
		if fingerprint == part {
			return loggedPart(r.request.Prompt[n].ID)
		}
	}
	return ""
}

// loggedPart returns the id of a part, cut to what a log line may have.
func loggedPart(id string) string { return id[:min(len(id), maxLoggedPartBytes)] }

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
		ids = append(ids, loggedPart(part.ID))
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
