package endtoend

import (
	"crypto/sha256"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// bundleText is a bundle of test models, each with weights of a version and so much memory, and of
// the plain service portal.
func bundleText(version int, weights string, memory string, models ...string) string {
	sum := sha256.Sum256([]byte(callerToken))
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "customer: acme\nversion: %d\ncallers:\n  - name: caller\n    token-sha256: %x\nmodels:\n", version, sum)
	for _, model := range models {
		_, _ = fmt.Fprintf(&b, "  - name: %s\n    weights: %s-%s\n    memory: %s\n    first-token: 20s\n    between-tokens: 1s\n", model, model, weights, memory)
	}
	b.WriteString("services:\n  - name: portal\n    pool: portal\n    not-repeatable:\n      - method: POST\n        path: /reports\n")
	return b.String()
}

// operate runs a bundle command on a text against a box.
func operate(p *process, verb, yaml string) (string, int) {
	file := filepath.Join(GinkgoT().TempDir(), "bundle.yaml")
	Expect(os.WriteFile(file, []byte(yaml), 0o600)).To(Succeed())
	return command("bundle", verb, file, "--box", "http://"+p.address, "--token", operatorToken)
}

// roll signs a text off and puts it in force.
func roll(p *process, yaml string) {
	out, code := operate(p, "sign-off", yaml)
	Expect(code).To(Equal(0), out)
	Eventually(func() string {
		out, code := operate(p, "roll", yaml)
		if code == 0 {
			return ""
		}
		return out
	}, 40*time.Second, 200*time.Millisecond).Should(BeEmpty())
}
