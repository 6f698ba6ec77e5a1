package mirror

import (
	"encoding/json"

	"ospreymoor.example/ospreymoor/pkg/kv"
)

// deltaMessage is a Delta in JSON. Its revisions are sequence numbers under Epoch, as boxes of the version before read
// them, which know of no epochs.
type deltaMessage struct {
	From     int64         `json:"from"`
	Revision int64         `json:"revision"`
	Changed  []kv.Record   `json:"changed,omitempty"`
	Large    []LargeRecord `json:"large,omitempty"`
	Removed  []string      `json:"removed,omitempty"`
	AllKeys  bool          `json:"whole,omitempty"`
	Keys     []string      `json:"keys,omitempty"`
	Epoch    int64         `json:"epoch,omitempty"`
}

// MarshalJSON writes the delta with sequence numbers. One that begins in an earlier epoch has all records, and so applies
// to every copy.
func (d Delta) MarshalJSON() ([]byte, error) {
	message := deltaMessage{
		Revision: kv.SequenceOf(d.Revision), Epoch: kv.EpochOf(d.Revision),
		Changed: make([]kv.Record, len(d.Changed)), Large: make([]LargeRecord, len(d.Large)),
		Removed: d.Removed, AllKeys: d.HasAllKeys, Keys: d.Keys,
	}
	if kv.EpochOf(d.From) == message.Epoch {
		message.From = kv.SequenceOf(d.From)
	}
	for i, record := range d.Changed {
		record.Revision = kv.SequenceOf(record.Revision)
		message.Changed[i] = record
	}
	for i, large := range d.Large {
		large.Revision = kv.SequenceOf(large.Revision)
		message.Large[i] = large
	}
	return json.Marshal(message)
}

// UnmarshalJSON reads what MarshalJSON writes.
func (d *Delta) UnmarshalJSON(text []byte) error {
	var message deltaMessage
	if err := json.Unmarshal(text, &message); err != nil {
		return err
	}
	*d = Delta{
		From: kv.RevisionAt(message.Epoch, message.From), Revision: kv.RevisionAt(message.Epoch, message.Revision),
		Changed: message.Changed, Large: message.Large, Removed: message.Removed, HasAllKeys: message.AllKeys, Keys: message.Keys,
	}
	for i := range d.Changed {
		d.Changed[i].Revision = kv.RevisionAt(message.Epoch, d.Changed[i].Revision)
	}
	for i := range d.Large {
		d.Large[i].Revision = kv.RevisionAt(message.Epoch, d.Large[i].Revision)
	}
	return nil
}
