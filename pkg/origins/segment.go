package origins

import (
	"encoding/binary"
	"slices"

	"github.com/juju/errors"
)

// Segment is a group of records in the form in which the store keeps them: every box mirrors the whole store, so that
// records are packed.
type Segment struct {
	// Origins has each software version that the records name.
	Origins []Origin `json:"origins"`
	// Streams has 9 bytes a record: its stream, big-endian, and the index of its origin.
	Streams []byte `json:"streams"`
}

const recordBytes = 9

// maxSegmentOrigins bounds the origins of a segment: an index has one byte.
const maxSegmentOrigins = 1 << 8

// NewSegment packs records. Those that name an origin beyond the first maxSegmentOrigins are left out.
func NewSegment(records []Record) Segment {
	var segment Segment
	for _, record := range records {
		index := slices.Index(segment.Origins, record.Origin)
		if index < 0 {
			if len(segment.Origins) == maxSegmentOrigins {
				continue
			}
			index = len(segment.Origins)
			segment.Origins = append(segment.Origins, record.Origin)
		}
		segment.Streams = binary.BigEndian.AppendUint64(segment.Streams, uint64(record.Stream))
		segment.Streams = append(segment.Streams, byte(index))
	}
	return segment
}

// ErrSegment is the error of a segment that is not packed as NewSegment does.
const ErrSegment = errors.ConstError("records of streams unreadable: another writer's")

// Records unpacks the segment.
func (s Segment) Records() ([]Record, error) {
	if len(s.Streams)%recordBytes != 0 {
		return nil, errors.Annotatef(ErrSegment, "%d bytes", len(s.Streams))
	}
	records := make([]Record, 0, len(s.Streams)/recordBytes)
	for packed := range slices.Chunk(s.Streams, recordBytes) {
		index := int(packed[recordBytes-1])
		if index >= len(s.Origins) {
			return nil, errors.Annotatef(ErrSegment, "version %d of %d", index, len(s.Origins))
		}
		records = append(records, Record{Stream: Stream(binary.BigEndian.Uint64(packed)), Origin: s.Origins[index]})
	}
	return records, nil
}
