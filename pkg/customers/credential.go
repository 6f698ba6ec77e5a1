package customers

import (
	"crypto/sha256"
	"strings"
)

// Digest stands for a key: a key is never kept itself.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// Rejection is why a credential names no customer. It tells nothing of the credential itself, so that it may
// be logged and answered.
type Rejection string

// The rejections.
const (
	// Accepted is no rejection.
	Accepted Rejection = ""
	// NoKey: the request has no credential.
	NoKey Rejection = "no key"
	// UnreadableKey: the credential is no single key, or not of the form that is asked for.
	UnreadableKey Rejection = "key unreadable"
	// UnknownKey: no customer of the configuration in force has the key.
	UnknownKey Rejection = "unknown key"
)

const (
	// scheme is that of a key among the schemes of HTTP authentication; its case does not matter.
	scheme = "bearer"
	// maxKeyBytes bounds a key, so that long ones cost no digest. Keys of 20 bytes are in use, and
	// signed tokens of a few hundred.
	maxKeyBytes = 1 << 10
)

// Credential is what a request has to name its customer: a key's digest, or why there is none.
type Credential struct {
	rejection Rejection
	digest    Digest
}

// ReadCredential reads the values of a request's Authorization fields. A credential that can't be read is
// rejected by Directory.Find, where a key is asked for.
func ReadCredential(values []string) Credential {
	if len(values) == 0 {
		return Credential{rejection: NoKey}
	}
	given, key, _ := strings.Cut(values[0], " ")
	key = strings.TrimLeft(key, " ")
	if len(values) > 1 || !strings.EqualFold(given, scheme) || !readable(key) {
		return Credential{rejection: UnreadableKey}
	}
	return Credential{digest: DigestOf(key)}
}

// readable reports whether a key is one word of printable ASCII within the bound.
func readable(key string) bool {
	if key == "" || len(key) > maxKeyBytes {
		return false
	}
	for i := range len(key) {
		if key[i] <= ' ' || key[i] > '~' || key[i] == ',' {
			return false
		}
	}
	return true
}
