package box

import (
	"context"
	"io"
	"maps"
	"net/http"

	"ospreymoor.example/ospreymoor/internal/engine"
)

// copyBytes is the size of the pieces that an answer is copied in.
const copyBytes = 32 << 10

// serveRepeatable sends a call to one upstream after another, until one answers. modelServer.serveRepeatable names
// what differs for models. Here even an attempt that reached no upstream takes from the retry budget, and once the
// head of an answer has come, the call is not sent again.
func (s *serviceProxy) serveRepeatable(w http.ResponseWriter, c *serviceCall) {
	ctx, cancel := context.WithTimeout(c.request.Context(), durationOf(c.service.Timeout))
	defer cancel()
	s.retries.Request()
	mayHaveRun := false
	for attempt := 1; ; attempt++ {
		upstream, refused := s.choose(c)
		if refused != nil {
			s.refuse(w, c, refused)
			return
		}
		ended := s.router.Sent(c.key, "", upstream.ID)
		response, err := s.send(ctx, s.repeatable, c, upstream)
		if err == nil {
			s.copyAnswer(w, c, response)
			ended()
			return
		}
		ended()
		mayHaveRun = mayHaveRun || !engine.IsDialError(err)
		s.router.Failed(upstream.ID, avoidTime)
		if ctx.Err() != nil || !mayTryAnother(attempt, false, s.retries) {
			s.refuse(w, c, exhausted(mayHaveRun))
			return
		}
	}
}

// copyAnswer hands an answer on as it comes. An answer that breaks off breaks the caller's connection too: it must
// never look whole.
func (s *serviceProxy) copyAnswer(w http.ResponseWriter, c *serviceCall, response *http.Response) {
	defer func() { _ = response.Body.Close() }()
	maps.Copy(w.Header(), passedOn(response.Header))
	w.WriteHeader(response.StatusCode)
	buffer := make([]byte, copyBytes)
	if _, err := io.CopyBuffer(flushing{w, http.NewResponseController(w)}, response.Body, buffer); err != nil {
		s.counters.refusedCall(c, unknown(reasonBrokenOff, ""))
		panic(http.ErrAbortHandler)
	}
	s.counters.servedCall(c)
}

// flushing writes each piece through to the caller at once.
type flushing struct {
	http.ResponseWriter
	controller *http.ResponseController
}

// Write writes and flushes. A failure to flush shows in the next write.
func (f flushing) Write(p []byte) (int, error) {
	n, err := f.ResponseWriter.Write(p)
	_ = f.controller.Flush()
	return n, err
}
