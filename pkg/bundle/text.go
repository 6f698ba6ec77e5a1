package bundle

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"ospreymoor.example/ospreymoor/pkg/kv"
)

// textKeyPrefix is the prefix of the keys of signed-off bundles in the key-value service.
const textKeyPrefix = "bundles/"

// Text is the stored form of a signed-off bundle.
type Text struct {
	YAML     string    `json:"yaml"`
	Digest   string    `json:"digest"`
	SignedAt time.Time `json:"signedAt"`
}

// TextKey returns the key of a signed-off bundle in the key-value service.
func TextKey(customer string, version uint64) string {
	return fmt.Sprintf("%s%s/%d", textKeyPrefix, customer, version)
}

// DecodeText decodes the value stored under a TextKey.
func DecodeText(key string, value []byte) (*Bundle, error) {
	var text Text
	if err := json.Unmarshal(value, &text); err != nil {
		return nil, errors.Annotatef(err, "decoding %s", key)
	}
	return Parse(key, []byte(text.YAML))
}

// text reads a signed-off text from the store, or returns ErrNotSignedOff.
func (r *Registry) text(ctx context.Context, customer string, version uint64) (Text, error) {
	var text Text
	record, err := r.Store.Get(ctx, TextKey(customer, version))
	if errors.Is(err, kv.ErrNotFound) {
		return text, errors.Annotatef(ErrNotSignedOff, "%s version %d", customer, version)
	}
	if err != nil {
		return text, err
	}
	err = json.Unmarshal(record.Value, &text)
	return text, errors.Annotatef(err, "decoding %s", record.Key)
}

// versionFromKey returns the version in a TextKey.
func versionFromKey(key string) (uint64, error) {
	version, err := strconv.ParseUint(key[strings.LastIndexByte(key, '/')+1:], 10, 64)
	return version, errors.Annotatef(err, "key %s", key)
}

// textDigest returns the SHA-256 of a bundle's text in hex.
func textDigest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}
