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

// bundleText returns a bundle with test models and the plain service portal. Each model has the given
// version of its weights and the given memory.
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

// runBundleCommand runs a bundle command with a YAML text against a box. It returns its output and exit code.
func runBundleCommand(p *process, verb, yaml string) (string, int) {
	file := filepath.Join(GinkgoT().TempDir(), "bundle.yaml")
	Expect(os.WriteFile(file, []byte(yaml), 0o600)).To(Succeed())
	return command("bundle", verb, file, "--box", "http://"+p.address, "--token", operatorToken)
}

// roll signs a bundle off and puts it in force. It tries again for up to 40 s if the latter fails.
func roll(p *process, yaml string) {
	out, code := runBundleCommand(p, "sign-off", yaml)
	Expect(code).To(Equal(0), out)
	Eventually(func() string {
		out, code := runBundleCommand(p, "roll", yaml)
		if code == 0 {
			return ""
		}
		return out
	}, 40*time.Second, 200*time.Millisecond).Should(BeEmpty())
}
