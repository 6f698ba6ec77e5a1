package eventstream_test

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/eventstream"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

func TestEventstream(t *testing.T) { spectest.Run(t, "Eventstream") }

const whole = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nweight-versions:3\nid:3\ndata: c\n\n"

func readAll(source io.Reader) (events []eventstream.Event, err error) {
	reader := eventstream.NewReader(source)
	for {
		event, err := reader.Next()
		if err != nil {
			return events, err
		}
		events = append(events, event)
	}
}

var _ = Describe("a reader", func() {
	It("returns whole events byte for byte, with their ids", func() {
		events, err := readAll(iotest.OneByteReader(strings.NewReader(whole)))
		Expect(err).To(Equal(io.EOF))
		Expect(events).To(HaveLen(3))
		text := ""
		for n, event := range events {
			text += string(event.Bytes)
			Expect(event.ID).To(Equal(string(rune('1' + n))))
		}
		Expect(text).To(Equal(whole))
	})

	It("never returns a part of an event, wherever the stream is cut", func() {
		ends := map[int]bool{0: true}
		at := 0
		for _, event := range []string{"id: 1\ndata: a\n\n", "id: 2\r\ndata: b\r\n\r\n", "weight-versions:3\nid:3\ndata: c\n\n"} {
			at += len(event)
			ends[at] = true
		}
		for cut := range len(whole) {
			events, err := readAll(strings.NewReader(whole[:cut]))
			text := ""
			for _, event := range events {
				text += string(event.Bytes)
			}
			Expect(whole).To(HavePrefix(text))
			Expect(ends[len(text)]).To(BeTrue(), "cut at %d", cut)
			if ends[cut] {
				Expect(err).To(Equal(io.EOF))
			} else {
				Expect(err).To(MatchError(eventstream.ErrPartial))
			}
		}
	})

	It("distinguishes a broken connection from the stream's end", func() {
		broken := errors.New("reset")
		_, err := readAll(io.MultiReader(strings.NewReader(whole), iotest.ErrReader(broken)))
		Expect(err).To(MatchError(broken))
	})

	It("rejects an event over the size limit", func() {
		_, err := readAll(strings.NewReader("data: " + strings.Repeat("x", eventstream.MaxEventBytes) + "\n\n"))
		Expect(err).To(MatchError(eventstream.ErrTooLong))
	})
})

func FuzzReader(f *testing.F) {
	f.Add(whole)
	f.Add("\n\n\n")
	f.Add("id: 1")
	f.Fuzz(func(t *testing.T, text string) {
		events, err := readAll(strings.NewReader(text))
		if err == nil {
			t.Fatal("the reader ended without an error")
		}
		joined := ""
		for _, event := range events {
			joined += string(event.Bytes)
		}
		if !strings.HasPrefix(text, joined) {
			t.Fatalf("events %q are not a prefix of %q", joined, text)
		}
	})
}
