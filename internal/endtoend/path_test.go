package endtoend

import (
	"context"
	"io"
	"net/http"
	"strings"
	"syscall"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	ospreymoorv1 "ospreymoor.example/ospreymoor/internal/gen/ospreymoor/v1"
	"ospreymoor.example/ospreymoor/internal/standin"
)

var _ = Describe("The whole path in separate processes", func() {
	It("serves models, plain services and requests that may not be repeated", func() {
		f := startTwoHalls("writer")
		one, two := f.boxes["hall-1-box"], f.boxes["hall-2-box"]

		By("streaming a whole answer")
		request := &ospreymoorv1.GenerateRequest{Model: "writer", Prompt: "findings", MaxTokens: 12}
		stream, err := one.inference().Generate(context.Background(), authorized(request))
		Expect(err).NotTo(HaveOccurred())
		var pieces []string
		var end *ospreymoorv1.End
		for stream.Receive() {
			if end = stream.Msg().GetEnd(); end == nil {
				pieces = append(pieces, stream.Msg().GetText())
			}
		}
		Expect(stream.Err()).NotTo(HaveOccurred())
		Expect(pieces).To(Equal(standin.Answer("acme/writer@writer-a", "", "findings", 12)))
		Expect(end.GetCount()).To(BeEquivalentTo(12))

		By("forwarding a plain call")
		response, err := http.DefaultClient.Do(get(one, "/services/portal/reports/17"))
		Expect(err).NotTo(HaveOccurred())
		text, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Body.Close()).To(Succeed())
		Expect(string(text)).To(Equal("content of /reports/17\n"))

		By("running a request that may not be repeated once, at two boxes")
		key := newKey()
		status, first := one.post(key, "report 17")
		Expect(status).To(Equal(http.StatusCreated), first)
		status, second := two.post(key, "report 17")
		Expect(status).To(Equal(http.StatusCreated), second)
		Expect(second).To(Equal(first))
		total := 0
		for _, s := range f.services {
			total += s.runs()["report 17"]
		}
		Expect(total).To(Equal(1))

		By("reporting the burn")
		out, code := command("report", "burn", "--box", "http://"+two.address, "--token", operatorToken)
		Expect(code).To(Equal(0), out)
		Expect(out).To(ContainSubstring("writer"))
		Expect(out).To(ContainSubstring("portal"))

		for format, wanted := range map[string]string{"json": `"model": "writer"`, "svg": "<svg"} {
			out, code = command("report", "burn", "--box", "http://"+two.address, "--token", operatorToken, "--format", format)
			Expect(code).To(Equal(0), out)
			Expect(out).To(ContainSubstring(wanted))
		}

		By("listing and retiring the bundle")
		out, code = command("bundle", "list", "--box", "http://"+two.address, "--token", operatorToken)
		Expect(code).To(Equal(0), out)
		Expect(out).To(MatchRegexp(`acme +1 +in force`))
		out, code = runBundleCommand(two, "retire", bundleText(1, "a", "8GiB", "writer"))
		Expect(code).To(Equal(0), out)
		Eventually(func() connect.Code {
			_, err := one.complete(context.Background(), &ospreymoorv1.GenerateRequest{Model: "writer", Prompt: "x"})
			return connect.CodeOf(err)
		}, 7*time.Second, 50*time.Millisecond).Should(Equal(connect.CodeUnauthenticated))

		By("draining on SIGTERM")
		one.signal(syscall.SIGTERM)
		Eventually(one.session, 20*time.Second).Should(exitWith(0))
	})

	It("answers bad input with a typed error that names the remedy", func() {
		f := startTwoHalls("writer")
		b := f.boxes["hall-1-box"]
		ctx := context.Background()

		_, err := b.complete(ctx, &ospreymoorv1.GenerateRequest{Model: "other", Prompt: "x"})
		Expect(connect.CodeOf(err)).To(Equal(connect.CodeNotFound))
		Expect(err).To(MatchError(ContainSubstring("bundle list")))

		_, err = b.complete(ctx, &ospreymoorv1.GenerateRequest{Model: "writer", NotRepeatable: true, RequestKey: "17"})
		Expect(connect.CodeOf(err)).To(Equal(connect.CodeInvalidArgument))
		Expect(err).To(MatchError(ContainSubstring("UUIDv7")))
		Expect(outcomeOf(err)).To(Equal(ospreymoorv1.Outcome_OUTCOME_NOT_RUN))

		_, err = b.complete(ctx, &ospreymoorv1.GenerateRequest{Model: "writer", Prompt: strings.Repeat("x", 5<<20)})
		Expect(connect.CodeOf(err)).To(Equal(connect.CodeResourceExhausted))

		request := get(b, "/services/portal/x")
		request.Header.Set("Authorization", "Bearer wrong")
		response, err := http.DefaultClient.Do(request)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusUnauthorized))
		Expect(response.Body.Close()).To(Succeed())

		out, code := runBundleCommand(b, "sign-off", strings.Replace(bundleText(2, "b", "8GiB", "writer"), "memory", "memry", 1))
		Expect(code).To(Equal(1))
		Expect(out).To(ContainSubstring(`unknown field "memry"`))

		out, code = runBundleCommand(b, "roll", bundleText(9, "b", "8GiB", "writer"))
		Expect(code).To(Equal(1))
		Expect(out).To(ContainSubstring("run bundle sign-off first"))

		By("staying up after an invalid frame at the peer listener")
		conn := dial(b.peer)
		_, err = conn.Write([]byte("\xff\xff\xff\xff\x7fGET / HTTP/1.1\r\n\r\n"))
		Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadAll(conn)
		Expect(err).NotTo(HaveOccurred(), "the box closes the connection")
		awaitModels(b, "writer")
	})

	DescribeTable("exits on bad settings with one line that names the flag, the variable and the remedy",
		func(arguments []string, line string) {
			out, code := command(arguments...)
			Expect(code).To(Equal(2))
			Expect(strings.TrimSpace(out)).To(Equal("ospreymoor: " + line))
		},
		Entry("missing", []string{"serve"},
			"--hall (OSPREYMOOR_HALL) is missing: name the hall that this box stands in, such as hall-1"),
		Entry("wrong", []string{"serve", "--hall", "h", "--platform", "x"},
			"--platform (OSPREYMOOR_PLATFORM) is x: give a URL such as http://127.0.0.1:2379"),
		Entry("contradictory", []string{"serve", "--hall", "h", "--platform", "http://x", "--peer-listen", "127.0.0.1:8080"},
			"--peer-listen (OSPREYMOOR_PEER_LISTEN) is 127.0.0.1:8080: it is --listen too; choose another port"),
		Entry("no secret", []string{"serve", "--hall", "h", "--platform", "http://x", "--peer-address", "10.0.0.1:1"},
			"--peer-secret (OSPREYMOOR_PEER_SECRET) is missing: give all boxes the same secret; only on loopback it may be left out"),
		Entry("unknown", []string{"serve", "--haul", "h"},
			"unknown flag --haul, did you mean \"--hall\"?: see ospreymoor --help"),
	)
})
