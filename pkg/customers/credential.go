package customers

import (
	"crypto/sha256"
	"strings"
)

// Digest identifies a key. Keys themselves are never stored.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// Rejection is the reason why a credential identifies no customer. It reveals nothing about the credential itself,
// so that it may be logged and sent to the caller.
type Rejection string

// Reasons for a rejection.
const (
	// Accepted means that the credential is not rejected.
	Accepted Rejection = ""
	// NoKey means that the request has no credential.
	NoKey Rejection = "no key"
	// UnreadableKey means that the credential is not a single key, or not of the required form.
	UnreadableKey Rejection = "key unreadable"
	// UnknownKey means that no customer of the configuration in force has the key.
	UnknownKey Rejection = "unknown key"
)

const (
	// keyScheme is the HTTP authentication scheme of a key; its case does not matter.
	keyScheme = "bearer"
	// maxKeyBytes bounds the length of a key, so that longer ones are rejected without computing a digest. Keys in
	// use have 20 bytes, and signed tokens a few hundred.
	maxKeyBytes = 1 << 10
)

// Credential is what a request contains to identify its customer: the digest of a key, or why there is none.
type Credential struct {
	rejection Rejection
	digest    Digest
}

// ReadCredential reads the values of a request's Authorization header fields. A credential that can't be read is
// rejected by Directory.Find, if the configuration has customers.
func ReadCredential(values []string) Credential {
	if len(values) == 0 {
		return Credential{rejection: NoKey}
	}
	scheme, key, _ := strings.Cut(values[0], " ")
	key = strings.TrimLeft(key, " ")
	if len(values) > 1 || !strings.EqualFold(scheme, keyScheme) || !validKey(key) {
		return Credential{rejection: UnreadableKey}
	}
	return Credential{digest: DigestOf(key)}
}

// validKey reports whether a key consists of printable ASCII without spaces and commas, up to maxKeyBytes.
func validKey(key string) bool {
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
