package box

import (
	"context"
	"io"
	"maps"
	"net/http"

	"ospreymoor.example/ospreymoor/internal/engine"
)

// copyBufferBytes is the size of the buffer through which an answer is copied.
const copyBufferBytes = 32 << 10

// serveRepeatable sends a call to one upstream after another until one answers. modelServer.serveRepeatable lists
// what differs for models. Here even an attempt that reached no upstream takes from the retry budget, and once the
// header of an answer has come, the call is not sent again.
func (s *serviceProxy) serveRepeatable(w http.ResponseWriter, c *serviceCall) {
	ctx, cancel := context.WithTimeout(c.request.Context(), durationOf(c.service.Timeout))
	defer cancel()
	s.retries.RecordRequest()
	mayHaveRun := false
	for attempt := 1; ; attempt++ {
		upstream, refused := s.choose(c)
		if refused != nil {
			s.refuse(w, c, refused)
			return
		}
		ended := s.router.RecordSent(c.fullName, "", upstream.ID)
		response, err := s.send(ctx, s.repeatableClient, c, upstream)
		if err == nil {
			s.copyAnswer(w, c, response)
			ended()
			return
		}
		ended()
		mayHaveRun = mayHaveRun || !engine.IsDialError(err)
		s.router.Avoid(upstream.ID, avoidDuration)
		if ctx.Err() != nil || !mayTryAnother(attempt, false, s.retries) {
			s.refuse(w, c, attemptsExhausted(mayHaveRun))
			return
		}
	}
}

// copyAnswer forwards an answer as it arrives. If the answer breaks off, the caller's connection is aborted, so
// that a partial answer never looks whole.
func (s *serviceProxy) copyAnswer(w http.ResponseWriter, c *serviceCall, response *http.Response) {
	defer func() { _ = response.Body.Close() }()
	maps.Copy(w.Header(), endToEndHeaders(response.Header))
	w.WriteHeader(response.StatusCode)
	buffer := make([]byte, copyBufferBytes)
	if _, err := io.CopyBuffer(flushWriter{w, http.NewResponseController(w)}, response.Body, buffer); err != nil {
		s.counters.countServiceRefusal(c, unknown(reasonBrokenOff, ""))
		panic(http.ErrAbortHandler)
	}
	s.counters.countServiceAnswer(c)
}

// flushWriter sends each write to the caller at once.
type flushWriter struct {
	http.ResponseWriter
	controller *http.ResponseController
}

// Write writes and flushes. A failure to flush shows in the next write.
func (f flushWriter) Write(p []byte) (int, error) {
	n, err := f.ResponseWriter.Write(p)
	_ = f.controller.Flush()
	return n, err
}
