// Package fingerprint names requests by what they ask, so that one that comes again is
// recognised without its body being kept.
package fingerprint

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"io"

	"github.com/juju/errors"
)

// Size of a key in bytes. A collision of 128 bits of SHA-256 would block another request; the customer is hashed too,
// so that one who could find two such requests blocks only himself.
const Size = 16

// ErrMalformed tells that a text is no key.
const ErrMalformed = errors.ConstError("fingerprint must be 32 hexadecimal digits")

// Key is a request's fingerprint.
type Key [Size]byte

// String gives the key in hexadecimal.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// MarshalText implements encoding.TextMarshaler.
func (k Key) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (k *Key) UnmarshalText(text []byte) error {
	parsed, ok := Parse(string(text))
	if !ok {
		return ErrMalformed
	}
	*k = parsed
	return nil
}

// Parse reads a key's hexadecimal form.
func Parse(s string) (Key, bool) {
	var k Key
	raw, err := hex.DecodeString(s)
	if err != nil || len(raw) != Size {
		return Key{}, false
	}
	copy(k[:], raw)
	return k, true
}

// Request is what a caller asks besides the body.
type Request struct {
	// Customer who asks; empty where no key is needed.
	Customer string
	// Host that the caller names, or the service.
	Host   string
	Method string
	// Target is the path with its query as the caller sent it, or the model.
	Target string
}

// Of returns the key of a request. Headers aren't part of it: they change with each attempt.
func Of(r Request, body []byte) Key {
	h := sha256.New()
	for _, field := range []string{r.Customer, r.Host, r.Method, r.Target} {
		writeLength(h, len(field))
		io.WriteString(h, field)
	}
	writeLength(h, len(body))
	h.Write(body)
	return Key(h.Sum(nil)[:Size])
}

// writeLength keeps fields apart: without it "ab"+"c" and "a"+"bc" would be one request.
func writeLength(h hash.Hash, n int) {
	h.Write(binary.BigEndian.AppendUint64(nil, uint64(n)))
}
