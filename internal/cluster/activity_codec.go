package cluster

import (
	"encoding/binary"
	"math"

	"github.com/juju/errors"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/residency"
)

// The binary form of activity. It is sent in place of the JSON form to boxes that read it, because activity is most of
// what boxes tell each other, and JSON most of what that costs: the loads of 240 upstreams with 40 prompts take
// 1.15 ms to encode and 1.42 ms to decode as packed JSON of 9.2 KB, 0.09 ms and 0.14 ms as 8.8 KB in this form
// (BenchmarkActivity, beside other work).
//
// Numbers are varints. A string stands whole the first time and by its number after that. Lists begin with their length.

// activityForm is the first byte: a later form has another one, and is not read as this one.
const activityForm = 1

// maxActivityItems bounds the length of one list, so that a length that is wrong takes no memory. 600
// upstreams and a few thousand uses are expected.
const maxActivityItems = 1 << 16

// errActivity is the error of activity in a form that this box does not read.
const errActivity = errors.ConstError("activity in binary form unreadable: the sender's next exchange brings the loads anew")

// activityWriter appends values to bytes.
type activityWriter struct {
	bytes []byte
	// strings are the numbers of the strings that were written.
	strings map[string]uint64
}

func (w *activityWriter) number(n int) { w.bytes = binary.AppendVarint(w.bytes, int64(n)) }

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

// encode returns the binary form.
func (a *activity) encode() []byte {
	w := &activityWriter{bytes: []byte{activityForm}, strings: map[string]uint64{}}
	w.summary(a.Summary)
	w.prompts(a.Observations.Prompts)
	w.outcomes(a.Observations.Outcomes)
	w.work(a.Work)
	return w.bytes
}

func (w *activityWriter) summary(s *loadSummary) {
	if s == nil {
		w.number(0)
		return
	}
	w.number(1)
	w.number(s.Boxes)
	w.number(s.StoreLost)
	w.number(len(s.Loads))
	for id, load := range s.Loads {
		w.text(id)
		w.number(load.Running)
		w.number(load.Tokens)
		w.number(load.Waiting)
		for _, tokens := range load.Prefill {
			w.number(tokens)
		}
	}
	w.number(len(s.Uses))
	for _, use := range s.Uses {
		w.text(use.Upstream)
		w.text(use.Model)
		w.text(use.Adapter)
		w.number(use.Running)
	}
}

func (w *activityWriter) prompts(prompts []dispatch.SentPrompt) {
	w.number(len(prompts))
	for _, prompt := range prompts {
		w.text(prompt.Upstream)
		w.number(len(prompt.Blocks))
		for _, block := range prompt.Blocks {
			w.bytes = binary.BigEndian.AppendUint64(w.bytes, block.Key)
			w.number(block.Tokens)
		}
	}
}

func (w *activityWriter) outcomes(outcomes map[string]dispatch.Outcomes) {
	w.number(len(outcomes))
	for id, counts := range outcomes {
		w.text(id)
		w.number(counts.Succeeded)
		w.number(counts.Failed)
	}
}

func (w *activityWriter) work(items []workItem) {
	w.number(len(items))
	for _, item := range items {
		w.text(item.Service)
		w.text(item.Model)
		patient := 0
		if item.Patient {
			patient = 1
		}
		w.number(patient)
		w.bytes = binary.BigEndian.AppendUint64(w.bytes, math.Float64bits(item.Milliseconds))
	}
}

// activityReader reads values from bytes. After the first one that cannot be read, err is set and all further ones are
// zero.
type activityReader struct {
	bytes   []byte
	strings []string
	err     error
}

// decodeActivity reads the binary form.
func decodeActivity(bytes []byte) (activity, error) {
	if len(bytes) == 0 || bytes[0] != activityForm {
		return activity{}, errors.Annotate(errActivity, "unknown form")
	}
	r := &activityReader{bytes: bytes[1:]}
	told := activity{Summary: r.summary()}
	told.Observations.Prompts = r.prompts()
	told.Observations.Outcomes = r.outcomes()
	told.Work = r.work()
	if r.err == nil && len(r.bytes) > 0 {
		r.fail("bytes behind its end")
	}
	if r.err != nil {
		return activity{}, r.err
	}
	return told, nil
}

func (r *activityReader) fail(reason string) {
	if r.err == nil {
		r.err = errors.Annotate(errActivity, reason)
	}
	r.bytes = nil
}

func (r *activityReader) number() int {
	n, size := binary.Varint(r.bytes)
	if size <= 0 {
		r.fail("ends too early")
		return 0
	}
	r.bytes = r.bytes[size:]
	return int(n)
}

// length reads the length of a list.
func (r *activityReader) length() int {
	n := r.number()
	if n < 0 || n > maxActivityItems {
		r.fail("length out of bounds")
		return 0
	}
	return n
}

// fixed reads eight bytes.
func (r *activityReader) fixed() uint64 {
	const size = 8
	if len(r.bytes) < size {
		r.fail("ends too early")
		return 0
	}
	n := binary.BigEndian.Uint64(r.bytes)
	r.bytes = r.bytes[size:]
	return n
}

func (r *activityReader) unsigned() uint64 {
	n, size := binary.Uvarint(r.bytes)
	if size <= 0 {
		r.fail("ends too early")
		return 0
	}
	r.bytes = r.bytes[size:]
	return n
}

func (r *activityReader) text() string {
	number := r.unsigned()
	if number < uint64(len(r.strings)) {
		return r.strings[number]
	}
	if r.err != nil || number > uint64(len(r.strings)) {
		r.fail("unknown string")
		return ""
	}
	length := r.unsigned()
	if length > uint64(len(r.bytes)) {
		r.fail("ends too early")
		return ""
	}
	s := string(r.bytes[:length])
	r.bytes = r.bytes[length:]
	r.strings = append(r.strings, s)
	return s
}

func (r *activityReader) summary() *loadSummary {
	if r.number() == 0 {
		return nil
	}
	s := &loadSummary{Boxes: r.number(), StoreLost: r.number()}
	count := r.length()
	if count > 0 {
		s.Loads = map[string]dispatch.Load{}
	}
	for n := 0; n < count && r.err == nil; n++ {
		id := r.text()
		load := dispatch.Load{Running: r.number(), Tokens: r.number(), Waiting: r.number()}
		for level := range load.Prefill {
			load.Prefill[level] = r.number()
		}
		s.Loads[id] = load
	}
	count = r.length()
	for n := 0; n < count && r.err == nil; n++ {
		s.Uses = append(s.Uses, residency.ModelUse{Upstream: r.text(), Model: r.text(), Adapter: r.text(), Running: r.number()})
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
			prompt.Blocks = append(prompt.Blocks, dispatch.PrefixBlock{Key: r.fixed(), Tokens: r.number()})
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
		outcomes[id] = dispatch.Outcomes{Succeeded: r.number(), Failed: r.number()}
	}
	return outcomes
}

func (r *activityReader) work() []workItem {
	var items []workItem
	count := r.length()
	for n := 0; n < count && r.err == nil; n++ {
		key := residency.WorkKey{ModelKey: residency.ModelKey{Service: r.text(), Model: r.text()}, Patient: r.number() != 0}
		items = append(items, workItem{WorkKey: key, Milliseconds: math.Float64frombits(r.fixed())})
	}
	return items
}
