// Package requestlog reads the lines that boxes log for each request (`request ended`) and for attempts under
// which upstreams crashed (`attempt failed`), and sums up how requests ended. It keeps what it reads in memory.
// `ospreymoor report requests` and `report crashes` use it; internal/gateway writes the lines.
package requestlog

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/juju/errors"
)

// Outcome is how a request ended for its caller.
type Outcome string

// The outcomes. A request whose first event was late and whose stream paused too long counts as late by its first
// event.
const (
	InTime     Outcome = "in time"
	LateFirst  Outcome = "late first"
	LatePause  Outcome = "late pause"
	Refused    Outcome = "refused"
	Failed     Outcome = "failed"
	CallerLeft Outcome = "caller left"
)

// Outcomes lists all outcomes in the order in which reports show them.
var Outcomes = []Outcome{InTime, LateFirst, LatePause, Refused, Failed, CallerLeft}

// Request is one request as its log line describes it.
type Request struct {
	// Ended is the time of the log line.
	Ended time.Time
	ID    string
	Route string
	// Customer is empty if the request had none.
	Customer string
	// Model is empty for plain services.
	Model   string
	Status  int
	Reason  string
	Outcome Outcome
}

// endedMessage is the message of log lines for requests that ended.
const endedMessage = "request ended"

// statusCallerLeft is the status that internal/gateway logs for a caller that closed its connection.
const statusCallerLeft = 499

// line is the part of a log line that is parsed. Times are in seconds; absent ones are 0.
type line struct {
	Message   string    `json:"msg"`
	Time      time.Time `json:"ts"`
	ID        string    `json:"id"`
	Route     string    `json:"route"`
	Customer  string    `json:"customer"`
	Model     string    `json:"model"`
	Status    int       `json:"status"`
	Reason    string    `json:"reason"`
	Error     string    `json:"error"`
	First     float64   `json:"first"`
	Gap       float64   `json:"gap"`
	Target    float64   `json:"target"`
	GapTarget float64   `json:"gapTarget"`
	Upstream  string    `json:"backend"`
	Content   string    `json:"content"`
	Crashed   bool      `json:"crashed"`
	// Parts are the shared parts of the prompt.
	Parts []string `json:"parts"`
	Held  bool     `json:"held"`
}

// Log holds what was parsed.
type Log struct {
	Requests []Request
	Crashes  []Crash
	// RefusedContents counts the requests that were refused because upstreams crash under them, by content.
	RefusedContents map[string]int
	// AnsweredParts counts the requests that were answered with status 200, by the shared parts of their prompts.
	AnsweredParts map[string]int
	// Lines is the number of valid log lines, whatever their message. Skipped is the number of lines that are not
	// log lines.
	Lines, Skipped int
}

// maxLineBytes is the maximum length of a line, which is more than any line that a box writes.
const maxLineBytes = 1 << 20

// Read adds the lines of a log. A line may have a prefix before its JSON, such as the time and the box's name that
// a log collector adds.
func (l *Log) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if text := bytes.TrimSpace(scanner.Bytes()); len(text) > 0 {
			l.add(text)
		}
	}
	return errors.Annotate(scanner.Err(), "reading the log")
}

func (l *Log) add(text []byte) {
	var parsed line
	start := bytes.IndexByte(text, '{')
	if start < 0 || json.Unmarshal(text[start:], &parsed) != nil || parsed.Message == "" {
		l.Skipped++
		return
	}
	l.Lines++
	switch {
	case parsed.Message == endedMessage:
		l.Requests = append(l.Requests, parsed.request())
		l.countRefused(&parsed)
		l.countAnswered(&parsed)
	case parsed.Message == attemptMessage && parsed.Crashed:
		l.Crashes = append(l.Crashes, Crash{At: parsed.Time, Content: parsed.Content, Parts: parsed.Parts, ID: parsed.ID, Upstream: parsed.Upstream})
	}
}

// countRefused counts a request that was refused because upstreams crash under it.
func (l *Log) countRefused(ended *line) {
	if ended.Content == "" || !ended.Held {
		return
	}
	if l.RefusedContents == nil {
		l.RefusedContents = map[string]int{}
	}
	l.RefusedContents[ended.Content]++
}

// countAnswered counts an answered request for each shared part of its prompt.
func (l *Log) countAnswered(ended *line) {
	if ended.Status != http.StatusOK || ended.Error != "" {
		return
	}
	if l.AnsweredParts == nil {
		l.AnsweredParts = map[string]int{}
	}
	for _, part := range ended.Parts {
		l.AnsweredParts[part]++
	}
}

func (l *line) request() Request {
	return Request{
		Ended: l.Time, ID: l.ID, Route: l.Route, Customer: l.Customer, Model: l.Model, Status: l.Status,
		Reason: l.reason(), Outcome: l.outcome(),
	}
}

// refusalStatuses are the statuses with which a box itself refuses a request that did not run.
var refusalStatuses = []int{http.StatusServiceUnavailable, http.StatusUnauthorized, http.StatusTooManyRequests}

// outcome classifies a request. One without targets is never late.
func (l *line) outcome() Outcome {
	switch {
	case l.Status == statusCallerLeft:
		return CallerLeft
	case l.Reason != "" && slices.Contains(refusalStatuses, l.Status):
		return Refused
	case l.Status >= http.StatusBadRequest, l.Error != "":
		return Failed
	case l.Target > 0 && l.First > l.Target:
		return LateFirst
	case l.GapTarget > 0 && l.Gap > l.GapTarget:
		return LatePause
	}
	return InTime
}

// reason returns why a request was not answered in time; empty if it was.
func (l *line) reason() string {
	switch outcome := l.outcome(); {
	case outcome == InTime:
		return ""
	case l.Reason != "":
		return l.Reason
	case outcome == Failed && l.Error == "":
		return "upstream's status " + http.StatusText(l.Status)
	case outcome == Failed:
		return "answer broken off"
	default:
		return string(outcome)
	}
}
