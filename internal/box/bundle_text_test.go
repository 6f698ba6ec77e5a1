package box

import (
	"crypto/sha256"
	"fmt"
	"strings"

	ospreymoorv1 "ospreymoor.example/ospreymoor/internal/gen/ospreymoor/v1"
)

// bundleText returns a bundle of the customer acme in YAML. Each model has the given weights and memory.
func bundleText(version int, weights, memory string, models ...string) string {
	sum := sha256.Sum256([]byte(callerToken))
	var text strings.Builder
	fmt.Fprintf(&text, "customer: acme\nversion: %d\ncallers:\n  - name: c\n    token-sha256: %x\nmodels:\n", version, sum)
	for _, model := range models {
		fmt.Fprintf(&text, "  - name: %s\n    weights: %s\n    memory: %s\n    first-token: 30s\n    between-tokens: 1s\n", model, weights, memory)
	}
	text.WriteString("services:\n  - name: portal\n    pool: portal\n    not-repeatable:\n      - method: POST\n        path: /reports\n")
	return text.String()
}

// joinModels inserts the models of the bundle other, from the one named "other" on, after those of text.
func joinModels(text, other string) string {
	models := other[strings.Index(other, "  - name: other"):strings.Index(other, "services:")]
	at := strings.Index(text, "services:")
	return text[:at] + models + text[at:]
}

func signOffRequest(text string) *ospreymoorv1.SignOffBundleRequest {
	return &ospreymoorv1.SignOffBundleRequest{Yaml: text}
}
