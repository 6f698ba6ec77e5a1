package transport_test

import (
	"fmt"
	"io"
	"net"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/internal/transport"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

// fetch sends a request and reads the whole answer.
func fetch(address string) (status int, header http.Header, body string, err error) {
	pooled := transport.New()
	defer pooled.CloseIdleConnections()
	response, err := transport.Sender(pooled.RoundTrip).Send(post(address))
	if err != nil {
		return 0, nil, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header, string(text), err
}

// An upstream in trouble answered with status 000. net/http takes any three digits for a status, a sign too, and any version
// of the protocol.
var _ = Describe("the status line of an answer", func() {
	rest := "\r\nContent-Length: 4\r\n\r\ntext"

	DescribeTable("that is none breaks the answer", func(line string) {
		_, _, _, err := fetch(spectest.AnswerAll(line+rest, spectest.CloseAnswer))
		Expect(err).To(MatchError(transport.ErrMalformed))
		Expect(err).NotTo(MatchError(transport.ErrNotSent))
	},
		Entry(nil, "HTTP/1.1 000 OK"),
		Entry(nil, "HTTP/1.1 000"),
		Entry(nil, "HTTP/1.1 001 OK"),
		Entry(nil, "HTTP/1.1 099 OK"),
		Entry(nil, "HTTP/1.1 101 Switching Protocols"),
		Entry(nil, "HTTP/1.1 600 OK"),
		Entry(nil, "HTTP/1.1 999 OK"),
		Entry(nil, "HTTP/1.1 2 0 OK"),
		Entry(nil, "HTTP/1.1 +20 OK"),
		Entry(nil, "HTTP/1.1 -20 OK"),
		Entry(nil, "HTTP/1.1 20 OK"),
		Entry(nil, "HTTP/1.1 2000 OK"),
		Entry(nil, "HTTP/1.1 200OK"),
		Entry(nil, "HTTP/1.1  200 OK"),
		Entry(nil, "HTTP/1.1\t200 OK"),
		Entry(nil, "HTTP/1.1"),
		Entry(nil, "HTTP/0.9 200 OK"),
		Entry(nil, "HTTP/2.0 200 OK"),
		Entry(nil, "http/1.1 200 OK"),
		Entry(nil, " HTTP/1.1 200 OK"),
		Entry(nil, ""),
		Entry(nil, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 OK"),
	)

	DescribeTable("that is odd and valid does not", func(line string, status int) {
		got, _, body, err := fetch(spectest.AnswerAll(line+rest, spectest.CloseAnswer))
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal(status))
		Expect(body).To(Equal("text"))
	},
		Entry(nil, "HTTP/1.1 200", 200),
		Entry(nil, "HTTP/1.1 200 ", 200),
		Entry(nil, "HTTP/1.0 200 OK", 200),
		Entry(nil, "HTTP/1.1 200 \xfc\tvery  well", 200),
		Entry(nil, "HTTP/1.1 299 OK", 299),
		Entry(nil, "HTTP/1.1 599 Failure", 599),
		Entry(nil, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK", 200),
	)

	It("is checked on each answer of a kept connection", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
			for _, status := range []string{"200 OK", "201 Created", "000 OK"} {
				_, _ = conn.Read(make([]byte, 4096))
				for _, b := range []byte(fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: 15\r\n\r\nHTTP/1.1 000 \r\n", status)) {
					_, _ = conn.Write([]byte{b})
				}
			}
			_, _ = conn.Read(make([]byte, 1))
		}()
		pooled := transport.New()
		DeferCleanup(pooled.CloseIdleConnections)
		for n, want := range []int{200, 201} {
			status, body, err := transport.Sender(pooled.RoundTrip).Call(post(listener.Addr().String()), 64)
			Expect(err).NotTo(HaveOccurred(), "answer %d", n)
			Expect(status).To(Equal(want))
			Expect(string(body)).To(Equal("HTTP/1.1 000 \r\n"))
		}
		_, _, err = transport.Sender(pooled.RoundTrip).Call(post(listener.Addr().String()), 64)
		Expect(err).To(MatchError(transport.ErrMalformed))
	})
})

// An upstream in trouble sent a blank before the colon of a field. net/http takes such a field for another one: a length or
// chunks did not count, and the caller got bytes that were not the body's.
var _ = Describe("the fields of an answer", func() {
	const ok = "HTTP/1.1 200 OK\r\n"
	chunks := "Transfer-Encoding: chunked\r\n\r\n4\r\ntext\r\n0\r\n"

	DescribeTable("that are none break the answer", func(text string) {
		_, _, _, err := fetch(spectest.AnswerAll(text, spectest.CloseAnswer))
		Expect(err).To(HaveOccurred())
		Expect(err).NotTo(MatchError(transport.ErrNotSent))
	},
		Entry("a blank before the colon of the length", ok+"Content-Length : 4\r\n\r\ntextmore"),
		Entry("a blank before the colon of the encoding", ok+"Transfer-Encoding : chunked\r\n\r\n4\r\ntext\r\n0\r\n\r\n"),
		Entry("a blank before another colon", ok+"Filler : x\r\nContent-Length: 4\r\n\r\ntext"),
		Entry("a blank in a name", ok+"Fil ler: x\r\nContent-Length: 4\r\n\r\ntext"),
		Entry("a blank before the first name", ok+" Filler: x\r\nContent-Length: 4\r\n\r\ntext"),
		Entry("a blank before a later name", ok+"Filler: x\r\n Content-Length: 4\r\n\r\ntext"),
		Entry("a line that goes on with a blank", ok+"Filler: x\r\n y\r\nContent-Length: 4\r\n\r\ntext"),
		Entry("a line that goes on with a tab", ok+"Filler: x\r\n\ty\r\nContent-Length: 4\r\n\r\ntext"),
		Entry("a line of a blank", ok+"Filler: x\r\n \r\nContent-Length: 4\r\n\r\ntext"),
		Entry("a tab before the colon", ok+"Content-Length\t: 4\r\n\r\ntext"),
		Entry("a NUL in a name", ok+"Fil\x00ler: x\r\nContent-Length: 4\r\n\r\ntext"),
		Entry("a BEL in a name", ok+"Fil\x07ler: x\r\nContent-Length: 4\r\n\r\ntext"),
		Entry("a DEL in a name", ok+"Fil\x7fler: x\r\nContent-Length: 4\r\n\r\ntext"),
		Entry("0x80 in a name", ok+"Fil\x80ler: x\r\nContent-Length: 4\r\n\r\ntext"),
		Entry("0xff in a name", ok+"Fil\xffler: x\r\nContent-Length: 4\r\n\r\ntext"),
		Entry("a bare CR in a name", ok+"Fil\rler: x\r\nContent-Length: 4\r\n\r\ntext"),
		Entry("two CR at the end of a line", ok+"Filler: x\r\r\nContent-Length: 4\r\n\r\ntext"),
		Entry("an empty name", ok+": x\r\nContent-Length: 4\r\n\r\ntext"),
		Entry("no colon", ok+"Filler\r\nContent-Length: 4\r\n\r\ntext"),
		Entry("a NUL in a value", ok+"Filler: x\x00\r\nContent-Length: 4\r\n\r\ntext"),
		Entry("a DEL in a value", ok+"Filler: \x7f\r\nContent-Length: 4\r\n\r\ntext"),
		Entry("a bare CR in a value", ok+"Filler: x\rContent-Length: 9\r\nContent-Length: 4\r\n\r\ntext"),
		Entry("two lengths", ok+"Content-Length: 4\r\nContent-Length: 3\r\n\r\ntext"),
		Entry("two lengths in one field", ok+"Content-Length: 4, 4\r\n\r\ntext"),
		Entry("a length with a sign", ok+"Content-Length: +4\r\n\r\ntext"),
		Entry("an unknown encoding", ok+"Transfer-Encoding: other\r\n\r\ntext"),
		Entry("chunks in a version without them", "HTTP/1.0 200 OK\r\n"+chunks+"\r\n"),
		Entry("a blank in a name of an informational head", "HTTP/1.1 103 Early Hints\r\nLink : x\r\n\r\n"+ok+"Content-Length: 4\r\n\r\ntext"),
		Entry("a blank in a name of the trailer", ok+chunks+"Filler : x\r\n\r\n"),
		Entry("a NUL in a name of the trailer", ok+chunks+"Fil\x00ler: x\r\n\r\n"),
	)

	DescribeTable("that are odd and valid do not", func(text string) {
		status, header, body, err := fetch(spectest.AnswerAll(text, spectest.CloseAnswer))
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(http.StatusOK))
		Expect(body).To(Equal("text"))
		Expect(header.Get("Seal")).To(Equal("x"))
	},
		Entry("a name in small letters", ok+"seal: x\r\ncontent-length: 4\r\n\r\ntext"),
		Entry("a name of other characters", ok+"!#$%&'*+-.^_`|~0Az: x\r\nSeal: x\r\nContent-Length: 4\r\n\r\ntext"),
		Entry("no blank after the colon, and several", ok+"Seal:x\r\nContent-Length:  4 \r\n\r\ntext"),
		Entry("tabs around a value", ok+"Seal:\tx\t\r\nContent-Length: 4\r\n\r\ntext"),
		Entry("an empty value", ok+"Filler:\r\nSeal: x\r\nContent-Length: 4\r\n\r\ntext"),
		Entry("bytes above 0x7f in a value", ok+"Filler: \x80\xff\r\nSeal: x\r\nContent-Length: 4\r\n\r\ntext"),
		Entry("a colon in a value", ok+"Filler: a:b : c\r\nSeal: x\r\nContent-Length: 4\r\n\r\ntext"),
		Entry("lines that end with LF alone", "HTTP/1.1 200 OK\nSeal: x\nContent-Length: 4\n\ntext"),
		Entry("the same length twice", ok+"Seal: x\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\ntext"),
		Entry("a length beside chunks", ok+"Seal: x\r\nContent-Length: 9\r\n"+chunks+"\r\n"),
		Entry("names that differ in case", ok+"SEAL: x\r\nseal: y\r\nContent-Length: 4\r\n\r\ntext"),
		Entry("a trailer", ok+"Seal: x\r\n"+chunks+"Filler: x\r\n\r\n"),
		Entry("no length in the version before", "HTTP/1.0 200 OK\r\nSeal: x\r\n\r\ntext"),
	)
})
