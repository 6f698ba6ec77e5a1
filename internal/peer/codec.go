package peer

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"

	"github.com/juju/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// maxFrameBytes bounds one message, in bytes: a few records of the largest size that the store allows (1 MiB).
const maxFrameBytes = 8 << 20

// errBadFrame means that the input is not a valid message; the connection is closed.
const errBadFrame = errors.ConstError("bad frame: check that the peer speaks this protocol")

// codec is jsonrpc2's length-prefixed codec with a bound on the length.
type codec struct {
	jsonrpc2.VarintObjectCodec
}

// ReadObject reads one message.
func (codec) ReadObject(stream *bufio.Reader, v any) error {
	length, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	if length > maxFrameBytes {
		return errors.Annotatef(errBadFrame, "%d bytes", length)
	}
	frame := make([]byte, length)
	if _, err := io.ReadFull(stream, frame); err != nil {
		return err
	}
	if err := json.Unmarshal(frame, v); err != nil {
		return fmt.Errorf("%w: %w", err, errBadFrame)
	}
	return nil
}
