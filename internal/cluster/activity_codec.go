package cluster

import (
	"encoding/binary"
	"math"

	"github.com/juju/errors"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/residency"
)

// The binary format of activity. Boxes that read it are sent it in place of JSON: activity is most of what boxes
// send each other, and JSON is most of its cost. The loads of 240 upstreams with 40 prompts take 1.15 ms to encode
// and 1.42 ms to decode as packed JSON of 9.2 KB, but 0.09 ms and 0.14 ms as 8.8 KB in this format
// (BenchmarkActivity, beside other work).
//
// Numbers are varints. A string is written out when it first occurs and by its index after that. A list begins with
// its length.

// activityFormat is the first byte. A later format has another value and is rejected.
const activityFormat = 1

// maxActivityItems bounds the length of one list, so that a corrupt length allocates no memory. 600 upstreams and a
// few thousand uses are expected.
const maxActivityItems = 1 << 16

// errBadActivity is the error for binary activity that cannot be decoded.
const errBadActivity = errors.ConstError("activity in binary form unreadable: the sender's next exchange brings the loads anew")

// activityWriter appends encoded values to bytes.
type activityWriter struct {
	bytes []byte
	// strings holds the index of each string that was written.
	strings map[string]uint64
}

func (w *activityWriter) varint(n int) { w.bytes = binary.AppendVarint(w.bytes, int64(n)) }

func (w *activityWriter) text(s string) {
	if number, ok := w.strings[s]; ok {
		w.bytes = binary.AppendUvarint(w.bytes, number)
		return
	}
	number := uint64(len(w.strings))
	w.strings[s] = number
	w.bytes = binary.AppendUvarint(w.bytes, number)
	w.bytes = binary.AppendUvarint(w.bytes, uint64(len(s)))
	w.bytes = append(w.bytes, s...)
}

// encode returns the activity in binary format.
func (a *activity) encode() []byte {
	w := &activityWriter{bytes: []byte{activityFormat}, strings: map[string]uint64{}}
	w.summary(a.Summary)
	w.prompts(a.Observations.Prompts)
	w.outcomes(a.Observations.Outcomes)
	w.work(a.Work)
	return w.bytes
}

func (w *activityWriter) summary(s *loadSummary) {
	if s == nil {
		w.varint(0)
		return
	}
	w.varint(1)
	w.varint(s.Boxes)
	w.varint(s.StoreLost)
	w.varint(len(s.Loads))
	for id, load := range s.Loads {
		w.text(id)
		w.varint(load.Running)
		w.varint(load.Tokens)
		w.varint(load.Waiting)
		for _, tokens := range load.Prefill {
			w.varint(tokens)
		}
	}
	w.varint(len(s.Uses))
	for _, use := range s.Uses {
		w.text(use.Upstream)
		w.text(use.Model)
		w.text(use.Adapter)
		w.varint(use.Running)
	}
}

func (w *activityWriter) prompts(prompts []dispatch.SentPrompt) {
	w.varint(len(prompts))
	for _, prompt := range prompts {
		w.text(prompt.Upstream)
		w.varint(len(prompt.Blocks))
		for _, block := range prompt.Blocks {
			w.bytes = binary.BigEndian.AppendUint64(w.bytes, block.Key)
			w.varint(block.Tokens)
		}
	}
}

func (w *activityWriter) outcomes(outcomes map[string]dispatch.Outcomes) {
	w.varint(len(outcomes))
	for id, counts := range outcomes {
		w.text(id)
		w.varint(counts.Succeeded)
		w.varint(counts.Failed)
	}
}

func (w *activityWriter) work(items []workItem) {
	w.varint(len(items))
	for _, item := range items {
		w.text(item.Service)
		w.text(item.Model)
		patient := 0
		if item.Patient {
			patient = 1
		}
		w.varint(patient)
		w.bytes = binary.BigEndian.AppendUint64(w.bytes, math.Float64bits(item.Milliseconds))
	}
}

// activityReader decodes values from bytes. After the first failure err is set, and all further values are zero.
type activityReader struct {
	bytes   []byte
	strings []string
	err     error
}

// decodeActivity decodes activity in binary format. The error is of the kind errBadActivity.
func decodeActivity(bytes []byte) (activity, error) {
	if len(bytes) == 0 || bytes[0] != activityFormat {
		return activity{}, errors.Annotate(errBadActivity, "unknown format")
	}
	r := &activityReader{bytes: bytes[1:]}
	decoded := activity{Summary: r.summary()}
	decoded.Observations.Prompts = r.prompts()
	decoded.Observations.Outcomes = r.outcomes()
	decoded.Work = r.work()
	if r.err == nil && len(r.bytes) > 0 {
		r.fail("trailing bytes")
	}
	if r.err != nil {
		return activity{}, r.err
	}
	return decoded, nil
}

func (r *activityReader) fail(reason string) {
	if r.err == nil {
		r.err = errors.Annotate(errBadActivity, reason)
	}
	r.bytes = nil
}

func (r *activityReader) varint() int {
	n, size := binary.Varint(r.bytes)
	if size <= 0 {
		r.fail("truncated")
		return 0
	}
	r.bytes = r.bytes[size:]
	return int(n)
}

// length reads the length of a list.
func (r *activityReader) length() int {
	n := r.varint()
	if n < 0 || n > maxActivityItems {
		r.fail("length out of bounds")
		return 0
	}
	return n
}

// fixed64 reads an unsigned number of eight bytes.
func (r *activityReader) fixed64() uint64 {
	const size = 8
	if len(r.bytes) < size {
		r.fail("truncated")
		return 0
	}
	n := binary.BigEndian.Uint64(r.bytes)
	r.bytes = r.bytes[size:]
	return n
}

func (r *activityReader) uvarint() uint64 {
	n, size := binary.Uvarint(r.bytes)
	if size <= 0 {
		r.fail("truncated")
		return 0
	}
	r.bytes = r.bytes[size:]
	return n
}

func (r *activityReader) text() string {
	number := r.uvarint()
	if number < uint64(len(r.strings)) {
		return r.strings[number]
	}
	if r.err != nil || number > uint64(len(r.strings)) {
		r.fail("string index out of bounds")
		return ""
	}
	length := r.uvarint()
	if length > uint64(len(r.bytes)) {
		r.fail("truncated")
		return ""
	}
	s := string(r.bytes[:length])
	r.bytes = r.bytes[length:]
	r.strings = append(r.strings, s)
	return s
}

func (r *activityReader) summary() *loadSummary {
	if r.varint() == 0 {
		return nil
	}
	s := &loadSummary{Boxes: r.varint(), StoreLost: r.varint()}
	count := r.length()
	if count > 0 {
		s.Loads = map[string]dispatch.Load{}
	}
	for n := 0; n < count && r.err == nil; n++ {
		id := r.text()
		load := dispatch.Load{Running: r.varint(), Tokens: r.varint(), Waiting: r.varint()}
		for level := range load.Prefill {
			load.Prefill[level] = r.varint()
		}
		s.Loads[id] = load
	}
	count = r.length()
	for n := 0; n < count && r.err == nil; n++ {
		s.Uses = append(s.Uses, residency.ModelUse{Upstream: r.text(), Model: r.text(), Adapter: r.text(), Running: r.varint()})
	}
	return s
}

func (r *activityReader) prompts() []dispatch.SentPrompt {
	var prompts []dispatch.SentPrompt
	count := r.length()
	for n := 0; n < count && r.err == nil; n++ {
		prompt := dispatch.SentPrompt{Upstream: r.text()}
		blocks := r.length()
		for b := 0; b < blocks && r.err == nil; b++ {
			prompt.Blocks = append(prompt.Blocks, dispatch.PrefixBlock{Key: r.fixed64(), Tokens: r.varint()})
		}
		prompts = append(prompts, prompt)
	}
	return prompts
}

func (r *activityReader) outcomes() map[string]dispatch.Outcomes {
	count := r.length()
	if count == 0 {
		return nil
	}
	outcomes := map[string]dispatch.Outcomes{}
	for n := 0; n < count && r.err == nil; n++ {
		id := r.text()
		outcomes[id] = dispatch.Outcomes{Succeeded: r.varint(), Failed: r.varint()}
	}
	return outcomes
}

func (r *activityReader) work() []workItem {
	var items []workItem
	count := r.length()
	for n := 0; n < count && r.err == nil; n++ {
		key := residency.WorkKey{ModelKey: residency.ModelKey{Service: r.text(), Model: r.text()}, Patient: r.varint() != 0}
		items = append(items, workItem{WorkKey: key, Milliseconds: math.Float64frombits(r.fixed64())})
	}
	return items
}
