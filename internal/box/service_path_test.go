package box

import (
	"net/http"
	"net/http/httptest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// An escaped slash arrived at the upstream as a slash.
var _ = DescribeTable("the path and query of a call of a plain service arrive as they were sent",
	func(sent, want string) {
		var got string
		ok := false
		mux := http.NewServeMux()
		mux.HandleFunc("/services/{service}/{path...}", func(_ http.ResponseWriter, r *http.Request) {
			target, same := upstreamURL("u", "/"+r.PathValue("path"), r.RequestURI)
			got, ok = target.RequestURI(), same
		})
		mux.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/services/s"+sent, nil))
		if want == "" {
			Expect(ok).To(BeFalse())
			return
		}
		Expect(ok).To(BeTrue())
		Expect(got).To(Equal(want))
	},
	Entry(nil, "/a/b", "/a/b"),
	Entry(nil, "/", "/"),
	Entry(nil, "/a%2Fb", "/a%2Fb"),
	Entry(nil, "/%2f%2F", "/%2f%2F"),
	Entry(nil, "/a%20b", "/a%20b"),
	Entry(nil, "/a;b=c", "/a;b=c"),
	Entry(nil, "/a?", "/a?"),
	Entry(nil, "/a?x=//y", "/a?x=//y"),
	Entry(nil, "/'()!", "/'()!"),
	Entry(nil, "/a|b", ""),
)
