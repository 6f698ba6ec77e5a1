package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/juju/errors"
)

// Fingerprint identifies a request by its content. It is short because at a crash the fingerprints of all requests in
// flight are sent to every box, and all but one of these are usually not the cause. To get another customer's request
// held, a customer needs a request of its own with the same 64 bits of a SHA-256 hash, which nobody can choose.
type Fingerprint [8]byte

// Content is the part of a request that its fingerprint is computed from. Headers are left out: a caller that retries
// sends another ID and deadline.
type Content struct {
	// Customer is the name of the customer that sends the request; empty if there is none. As it is part of the
	// fingerprint, one customer's requests do not count against another's.
	Customer string
	Method   string
	Host     string
	// URI is the path with its query.
	URI  string
	Body []byte
}

// Fingerprint returns the fingerprint of the content. A body of 18 KB takes 12.5 µs (BenchmarkFingerprint).
func (c *Content) Fingerprint() Fingerprint {
	hash := sha256.New()
	for _, part := range []string{c.Customer, c.Method, c.Host, c.URI} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		hash.Write(length[:])
		hash.Write([]byte(part))
	}
	hash.Write(c.Body)
	return Fingerprint(hash.Sum(nil))
}

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// errFingerprint is the error for a text that is not a fingerprint.
const errFingerprint = errors.ConstError("not a fingerprint: 16 hexadecimal digits are expected")

// ParseFingerprint parses a fingerprint in hexadecimal.
func ParseFingerprint(text string) (f Fingerprint, err error) {
	return f, f.UnmarshalText([]byte(text))
}

// MarshalText returns the fingerprint in hexadecimal.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText parses a fingerprint in hexadecimal.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(f)) {
		return errFingerprint
	}
	if _, err := hex.Decode(f[:], text); err != nil {
		return errors.WithType(err, errFingerprint)
	}
	return nil
}
