package gateway

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

var _ = Describe("requests while halls are evacuated", func() {
	// inHalls lists the fixture's upstreams again, the odd ones in hall "h1" and the others in "h0".
	inHalls := func(f *fixture) {
		var list []fleet.Upstream
		for n := range 4 {
			for _, kind := range []string{"p", "e"} {
				entry := *f.Directory.Get(fmt.Sprint(kind, n)).Upstream
				entry.Hall, entry.Revision = fmt.Sprint("h", n%2), 2
				list = append(list, entry)
			}
		}
		f.Directory.SetList(2, list, time.Now())
	}
	paths := []string{"/once/x", "/safe/x", "/stream/x", "/strict/x"}
	model := func(path string) string {
		return map[bool]string{true: "m"}[path == "/stream/x" || path == "/strict/x"]
	}

	It("never go to an evacuated hall: when first sent, retried, resumed or delayed", func() {
		spectest.Bubble(func() {
			attempts := 0
			f := newFixture(func(string, int) behavior {
				attempts++
				return []behavior{succeeds, brokenBody, refuses, fails, notSent, succeeds}[attempts%6]
			}, 1)
			inHalls(f)
			f.Directory.SetEvacuated(3, map[string]bool{"h1": true})
			for n := range 100 {
				for _, path := range paths {
					f.ask(context.Background(), fmt.Sprint(path, n), path, model(path))
				}
			}
			for _, id := range []string{"p1", "p3", "e1", "e3"} {
				Expect(f.upstreams.sendCount(id)).To(BeZero(), id)
			}
			Expect(f.upstreams.sendCount("p0")).NotTo(BeZero())
		})
	})

	It("continue where they already run", func() {
		spectest.Bubble(func() {
			release := make(chan struct{})
			f := newFixture(func(string, int) behavior { return succeeds }, 1)
			inHalls(f)
			f.upstreams.notice = func(string, int) fleet.Notice {
				<-release
				return fleet.Notice{}
			}
			done := make(chan int)
			go func() { done <- f.ask(context.Background(), "r", "/once/x", "").Code }()
			time.Sleep(10 * time.Millisecond)
			f.Directory.SetEvacuated(3, map[string]bool{"h0": true, "h1": true})
			close(release)
			Expect(<-done).To(Equal(http.StatusOK))
		})
	})

	It("are refused at once with the reason and a Retry-After if all halls are evacuated", func() {
		spectest.Bubble(func() {
			f := newFixture(func(string, int) behavior { return succeeds }, 1)
			inHalls(f)
			f.Directory.SetEvacuated(3, map[string]bool{"h0": true, "h1": true})
			for _, path := range paths {
				begun := time.Now()
				got := f.ask(context.Background(), path, path, model(path))
				Expect(time.Since(begun)).To(BeZero(), path)
				Expect(got.Code).To(Equal(http.StatusServiceUnavailable), path)
				Expect(got.Body.String()).To(ContainSubstring(string(reasonEvacuated)))
				wait, err := strconv.ParseFloat(got.Header().Get("Retry-After"), 64)
				Expect(err).NotTo(HaveOccurred())
				Expect(wait).To(BeNumerically(">=", retryWhenEvacuated.Seconds()))
			}
			Expect(f.upstreams.sentTo).To(BeEmpty())
		})
	})
})
