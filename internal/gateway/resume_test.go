package gateway

import (
	"context"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/origins"
	"ospreymoor.example/ospreymoor/pkg/residency"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

var _ = Describe("a stream where upstreams of several software versions serve", func() {
	// withVersions runs f on a gateway whose engines e0 to e3 have software versions, and that keeps its own records.
	withVersions := func(choose func(id string, n int) behavior, versions []string, f func(*fixture, *origins.Register)) {
		spectest.Bubble(func() {
			g := newFixture(choose, 1)
			kept := origins.NewRegister()
			g.Origins = Origins{
				Record: kept.Add,
				Find: func(_ context.Context, question origins.Question, ask bool) origins.Found {
					if !ask {
						return origins.Found{}
					}
					found, age := kept.Find(question.Stream)
					return origins.Found{Origins: found, Source: "b", Age: age}
				},
			}
			g.setVersions(versions...)
			time.Sleep(2 * fleet.VersionRetention) // The fixture's entries state no version.
			f(g, kept)
		})
	}
	always := func(string, int) behavior { return succeeds }
	resume := func(f *fixture, last string, named ...string) *caller {
		request := streamRequest("r2")
		request.LastEventID, request.Resumes = last, named
		return f.serve(context.Background(), request)
	}
	ran := func(f *fixture) string { return strings.Join(f.upstreams.sentTo, " ") }

	It("goes on at the version that began it, within one answer", func() {
		breaksOnce := func(_ string, n int) behavior { return []behavior{brokenBody, succeeds}[min(n, 2)-1] }
		for range 20 {
			withVersions(breaksOnce, []string{"v1", "v2", "v1", "v2"}, func(f *fixture, _ *origins.Register) {
				answer := f.ask(context.Background(), "r1", "/stream/x", "m")
				Expect(answer.Code).To(Equal(http.StatusOK))
				Expect(ran(f)).To(Or(Equal("e0 e2"), Equal("e2 e0"), Equal("e1 e3"), Equal("e3 e1")))
			})
		}
	})

	It("is broken off at once if no other upstream runs that version", func() {
		withVersions(func(string, int) behavior { return brokenBody }, []string{"v1", "v2", "v3", "v4"}, func(f *fixture, _ *origins.Register) {
			begun := time.Now()
			answer := f.ask(context.Background(), "r1", "/stream/x", "m")
			Expect(answer.aborted).To(BeTrue())
			Expect(time.Since(begun)).To(BeZero())
			Expect(f.upstreams.sentTo).To(HaveLen(1))
		})
	})

	It("may go to another version before its first event", func() {
		refusesOnce := func(_ string, n int) behavior { return []behavior{refuses, succeeds}[min(n, 2)-1] }
		withVersions(refusesOnce, []string{"v1", "v2"}, func(f *fixture, kept *origins.Register) {
			Expect(f.ask(context.Background(), "r1", "/stream/x", "m").Code).To(Equal(http.StatusOK))
			Expect(f.upstreams.sentTo).To(HaveLen(2))
			found, _ := kept.Find(origins.StreamOf("r1"))
			Expect(found).To(ConsistOf(origins.Origin{Service: "engines", Version: f.Directory.Get(f.upstreams.sentTo[1]).SoftwareVersion}))
		})
	})

	It("goes on at the version that began it when its caller takes it up again, also more than once", func() {
		withVersions(always, []string{"v1", "v2", "v3", "v4"}, func(f *fixture, kept *origins.Register) {
			kept.Add(origins.Record{Stream: origins.StreamOf("r1"), Origin: origins.Origin{Service: "engines", Version: "v3"}})
			Expect(resume(f, "1", "r1").Code).To(Equal(http.StatusOK))
			Expect(resume(f, "2", "r1").Code).To(Equal(http.StatusOK))
			Expect(resume(f, "3", "r2").Code).To(Equal(http.StatusOK), "named by the attempt that took it up")
			Expect(ran(f)).To(Equal("e2 e2 e2"))
		})
	})

	DescribeTable("is refused at once, as not run, if its version is not known", func(named ...string) {
		withVersions(always, []string{"v1", "v2"}, func(f *fixture, kept *origins.Register) {
			kept.Add(origins.Record{Stream: origins.StreamOf("r1"), Origin: origins.Origin{Service: "engines", Version: "v1"}})
			answer := resume(f, "1", named...)
			Expect(answer.Code).To(Equal(http.StatusServiceUnavailable))
			Expect(answer.Body.String()).To(ContainSubstring(string(reasonOriginUnknown)))
			Expect(answer.Header().Get("Retry-After")).NotTo(BeEmpty())
			Expect(f.upstreams.sentTo).To(BeEmpty())
		})
	},
		Entry("no attempt is named"),
		Entry("an empty one", ""),
		Entry("one that nobody knows", "r9"),
		Entry("two", "r1", "r1"),
		Entry("a huge one", strings.Repeat("r", 1<<16)),
	)

	DescribeTable("waits at a box that has just started for the first list of upstreams", func(listedAfter time.Duration, status int) {
		spectest.Bubble(func() {
			f := newFixture(always, 1)
			f.Directory = fleet.New()
			f.Origins.Find = func(context.Context, origins.Question, bool) origins.Found {
				return origins.Found{Origins: []origins.Origin{{Service: "engines", Version: "v2"}}}
			}
			time.AfterFunc(listedAfter, func() { f.setVersions("v1", "v2") })
			Expect(resume(f, "1", "r1").Code).To(Equal(status))
			if status == http.StatusOK {
				Expect(ran(f)).To(Equal("e1"))
			}
			time.Sleep(time.Second)
		})
	},
		Entry("which comes soon", 50*time.Millisecond, http.StatusOK),
		Entry("which does not come", 900*time.Millisecond, http.StatusServiceUnavailable),
	)

	It("begins anew at any version without the id of an event", func() {
		withVersions(always, []string{"v1", "v2"}, func(f *fixture, kept *origins.Register) {
			Expect(resume(f, "", "r9").Code).To(Equal(http.StatusOK))
			found, _ := kept.Find(origins.StreamOf("r2"))
			Expect(found).To(HaveLen(1))
		})
	})

	It("is refused at once if no usable upstream runs its version", func() {
		withVersions(always, []string{"v1", "v2"}, func(f *fixture, kept *origins.Register) {
			kept.Add(origins.Record{Stream: origins.StreamOf("r1"), Origin: origins.Origin{Service: "engines", Version: "v1"}})
			f.Directory.RecordLeaving([]string{"e0"})
			answer := resume(f, "1", "r1")
			Expect(answer.Code).To(Equal(http.StatusServiceUnavailable))
			Expect(answer.Body.String()).To(ContainSubstring(string(reasonOtherVersion)))
			Expect(f.upstreams.sentTo).To(BeEmpty())
		})
	})

	It("has its model loaded at that version", func() {
		withVersions(always, []string{"v1", "v2"}, func(f *fixture, kept *origins.Register) {
			kept.Add(origins.Record{Stream: origins.StreamOf("r1"), Origin: origins.Origin{Service: "engines", Version: "v1"}})
			var wanted residency.Want
			f.Ensure = func(_ context.Context, want residency.Want) (residency.EnsureResult, error) {
				wanted = want
				f.Directory.MergeResidency(1, map[string]fleet.Residency{"e0": {Loaded: []string{"m"}, Sequence: 2}})
				return residency.EnsureResult{ReadyIn: 100 * time.Millisecond}, residency.ErrNoCapacity
			}
			f.Directory.MergeResidency(1, map[string]fleet.Residency{"e0": {Dropped: []string{"m"}, Sequence: 1}})
			Expect(resume(f, "1", "r1").Code).To(Equal(http.StatusOK))
			Expect(wanted.SoftwareVersion).To(Equal("v1"))
			Expect(ran(f)).To(Equal("e0"))
		})
	})

	It("is bound to no upstream whose entry states no version", func() {
		withVersions(always, []string{"", "v2"}, func(f *fixture, kept *origins.Register) {
			kept.Add(origins.Record{Stream: origins.StreamOf("r1"), Origin: origins.Origin{Service: "engines"}})
			Expect(resume(f, "1", "r1").Code).To(Equal(http.StatusServiceUnavailable))
		})
	})

	DescribeTable("is not recorded, asked for or bound while one version is in use", func(version string) {
		withVersions(always, []string{version, version}, func(f *fixture, kept *origins.Register) {
			f.Origins.Record = func(...origins.Record) { Fail("recorded") }
			f.Origins.Find = func(_ context.Context, _ origins.Question, ask bool) origins.Found {
				Expect(ask).To(BeFalse())
				return origins.Found{}
			}
			f.Directory.RecordVersion("plain", "v9")
			Expect(resume(f, "1", "r1").Code).To(Equal(http.StatusOK))
			Expect(resume(f, "1").Code).To(Equal(http.StatusOK))
			Expect(f.ask(context.Background(), "r1", "/stream/x", "m").Code).To(Equal(http.StatusOK))
		})
	},
		Entry("that entries state", "v1"),
		Entry("that no entry states", ""),
	)

	DescribeTable("is asked for at a box whose list of upstreams is old, since it may not have heard of another version", func(age time.Duration, answered bool, status int, asked bool) {
		withVersions(always, []string{"v1", "v1"}, func(f *fixture, _ *origins.Register) {
			hasAsked := false
			f.ListAge = func() time.Duration { return age }
			f.Origins.Find = func(_ context.Context, _ origins.Question, ask bool) origins.Found {
				hasAsked = ask
				return origins.Found{Answered: answered}
			}
			time.Sleep(10 * time.Second)
			f.setVersions("v1", "v1")
			Expect(resume(f, "1", "r1").Code).To(Equal(status))
			Expect(hasAsked).To(Equal(asked))
		})
	},
		Entry("not while the list is current", time.Second, false, http.StatusOK, false),
		Entry("and goes on if others know one version too", 4*time.Second, true, http.StatusOK, true),
		Entry("and is refused if no other box answers", 4*time.Second, false, http.StatusServiceUnavailable, true),
	)

	It("is admitted at the version that it is bound to, although its prompt has to wait there", func() {
		withVersions(always, []string{"v1", "v2"}, func(f *fixture, kept *origins.Register) {
			kept.Add(origins.Record{Stream: origins.StreamOf("r1"), Origin: origins.Origin{Service: "engines", Version: "v1"}})
			busy := dispatch.Load{Running: 3, Prefill: [dispatch.UrgencyLevels]int{100_000}, Tokens: 5000}
			f.Loads.SetRemoteLoads(map[string]dispatch.Load{"e0": busy}, time.Now())
			Expect(resume(f, "1", "r1").Code).To(Equal(http.StatusOK))
			Expect(ran(f)).To(Equal("e0"))
		})
	})

	It("that began before another version came into use is recorded then, unless it is complete", func() {
		withVersions(func(id string, _ int) behavior {
			if id == "r1" {
				return brokenBody
			}
			return succeeds
		}, []string{"v1", "v1"}, func(f *fixture, kept *origins.Register) {
			f.ask(context.Background(), "r1", "/stream/x", "m")
			f.ask(context.Background(), "complete", "/stream/x", "m")
			time.Sleep(10 * time.Second)
			ctx, stop := context.WithCancel(context.Background())
			go f.RunOrigins(ctx)
			time.Sleep(time.Second)
			f.setVersions("v1", "v2")
			time.Sleep(time.Second)
			found, _ := kept.Find(origins.StreamOf("r1"))
			Expect(found).To(ConsistOf(origins.Origin{Service: "engines", Version: "v1"}))
			known, _ := kept.Counts()
			Expect(known).To(Equal(1))
			stop()
			time.Sleep(time.Second)
		})
	})

	It("without a record goes on at the version that was the only one until a moment ago", func() {
		withVersions(always, []string{"v1", "v1"}, func(f *fixture, _ *origins.Register) {
			time.Sleep(10 * time.Second)
			f.setVersions("v1", "v2")
			time.Sleep(time.Second)
			Expect(resume(f, "1", "r1").Code).To(Equal(http.StatusOK))
			Expect(ran(f)).To(Equal("e0"))
			time.Sleep(unrecordedTime)
			Expect(resume(f, "1", "r7").Code).To(Equal(http.StatusServiceUnavailable))
		})
	})

	It("is refused if its recorded version is not in use any more, although one version is", func() {
		withVersions(always, []string{"v2"}, func(f *fixture, kept *origins.Register) {
			kept.Add(origins.Record{Stream: origins.StreamOf("r1"), Origin: origins.Origin{Service: "engines", Version: "v1"}})
			f.Origins.Find = func(context.Context, origins.Question, bool) origins.Found {
				return origins.Found{Origins: []origins.Origin{{Service: "engines", Version: "v1"}}}
			}
			Expect(resume(f, "1", "r1").Code).To(Equal(http.StatusServiceUnavailable))
		})
	})
})
