package endtoend

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	ospreymoorv1 "ospreymoor.example/ospreymoor/internal/gen/ospreymoor/v1"
	"ospreymoor.example/ospreymoor/internal/gen/ospreymoor/v1/ospreymoorv1connect"
	"ospreymoor.example/ospreymoor/internal/standin"
)

// Tokens of the test customer.
const (
	operatorToken = "acme-operator"
	callerToken   = "acme-caller"
)

// authorized returns a request with a message and the caller's token.
func authorized[T any](message *T) *connect.Request[T] {
	request := connect.NewRequest(message)
	request.Header().Set("Authorization", "Bearer "+callerToken)
	return request
}

// wholeAnswer returns the whole answer of a model to a prompt, with a version of its weights and a number of pieces.
func wholeAnswer(model, weights, prompt string, pieces int) string {
	return strings.Join(standin.Answer("acme/"+model+"@"+model+"-"+weights, "", prompt, pieces), "")
}

func (p *process) inference() ospreymoorv1connect.InferenceServiceClient {
	return ospreymoorv1connect.NewInferenceServiceClient(http.DefaultClient, "http://"+p.address)
}

// complete sends a request and returns the whole answer.
func (p *process) complete(ctx context.Context, request *ospreymoorv1.GenerateRequest) (string, error) {
	answer, err := p.inference().Complete(ctx, authorized(&ospreymoorv1.CompleteRequest{Request: request}))
	if err != nil {
		return "", err
	}
	return answer.Msg.GetText(), nil
}

// outcomeOf returns the outcome in the refusal that an error carries, or OUTCOME_UNSPECIFIED.
func outcomeOf(err error) ospreymoorv1.Outcome {
	var answer *connect.Error
	if !errors.As(err, &answer) {
		return ospreymoorv1.Outcome_OUTCOME_UNSPECIFIED
	}
	for _, detail := range answer.Details() {
		if value, err := detail.Value(); err == nil {
			if refusal, ok := value.(*ospreymoorv1.Refusal); ok {
				return refusal.GetOutcome()
			}
		}
	}
	return ospreymoorv1.Outcome_OUTCOME_UNSPECIFIED
}

// awaitModels waits until a box answers requests for each model.
func awaitModels(p *process, models ...string) {
	for _, model := range models {
		Eventually(func() error {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			_, err := p.complete(ctx, &ospreymoorv1.GenerateRequest{Model: model, Prompt: "ready?", MaxTokens: 1})
			return err
		}, 60*time.Second, 100*time.Millisecond).Should(Succeed())
	}
}

// findings collects the wrong results that concurrent callers found. It is safe for concurrent use.
type findings struct {
	mu    sync.Mutex
	texts []string
}

func (f *findings) add(text string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.texts = append(f.texts, text)
}

func (f *findings) all() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.texts...)
}

// dial opens a connection that is closed at the test's end.
func dial(address string) net.Conn {
	conn, err := net.DialTimeout("tcp", address, 5*time.Second)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(conn.Close)
	return conn
}

// post sends a plain-service call with a request key. It returns the status and body of the answer, or
// status 0 and the error if the call failed before an answer.
func (p *process) post(key, body string) (int, string) {
	request := serviceRequest(p, http.MethodPost, "/services/portal/reports", body)
	request.Header.Set("Request-Key", key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return response.StatusCode, string(text)
}

// newKey returns a new request key.
func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// get returns a plain-service GET request with the caller's token.
func get(p *process, path string) *http.Request { return serviceRequest(p, http.MethodGet, path, "") }

// serviceRequest returns a plain-service request with a body and the caller's token.
func serviceRequest(p *process, method, path, body string) *http.Request {
	request, err := http.NewRequest(method, "http://"+p.address+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Authorization", "Bearer "+callerToken)
	return request
}
