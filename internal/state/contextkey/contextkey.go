// Package contextkey names pieces of prompt context. A key binds the customer
// (by a secret salt), model, weight version, adapter and the whole prefix, so
// equal prefixes of two customers, or of two weight versions, share nothing.
package contextkey

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"hash"

	"github.com/juju/errors"
)

// ErrMalformed tells that a text is no key.
const ErrMalformed = errors.ConstError("context key must be 32 hexadecimal digits")

// ChunkTokens is the size of one piece of context, in tokens.
const ChunkTokens = 2000

// BytesPerToken estimates text size; entries do not run the models' tokenizers.
const BytesPerToken = 4

// ChunkBytes is the text length of one piece.
const ChunkBytes = ChunkTokens * BytesPerToken

// Size is the length of a key in bytes.
const Size = 16

// Key names one piece of context together with all that precedes it.
type Key [Size]byte

// String gives the key in hexadecimal.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// Parse reads a key's hexadecimal form.
func Parse(s string) (Key, bool) {
	var k Key
	raw, err := hex.DecodeString(s)
	if err != nil || len(raw) != Size {
		return k, false
	}
	copy(k[:], raw)
	return k, true
}

// Scope is what a context belongs to besides its text.
type Scope struct {
	Salt          []byte
	Model         string
	WeightVersion string
	Adapter       string
}

// ChunkKeys returns the keys of the whole pieces of text, first to last. The rest of
// the text that fills no piece has no key and is always computed.
func ChunkKeys(scope Scope, text string) []Key {
	chunks := len(text) / ChunkBytes
	if chunks == 0 {
		return nil
	}
	keys := make([]Key, 0, chunks)
	mac := hmac.New(sha256.New, scope.Salt)
	parent := scopeHash(mac, scope)
	for i := range chunks {
		mac.Reset()
		mac.Write(parent[:])
		mac.Write([]byte(text[i*ChunkBytes : (i+1)*ChunkBytes]))
		parent = truncatedSum(mac)
		keys = append(keys, parent)
	}
	return keys
}

// scopeHash separates the fields by their lengths: without it ("ab","c") and
// ("a","bc") would share contexts.
func scopeHash(mac hash.Hash, scope Scope) Key {
	for _, field := range []string{scope.Model, scope.WeightVersion, scope.Adapter} {
		n := len(field)
		mac.Write([]byte{byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)})
		mac.Write([]byte(field))
	}
	return truncatedSum(mac)
}

func truncatedSum(mac hash.Hash) Key {
	var full [sha256.Size]byte
	var k Key
	copy(k[:], mac.Sum(full[:0]))
	return k
}

// EstimateTokens estimates the number of tokens of a text.
func EstimateTokens(text string) int {
	return (len(text) + BytesPerToken - 1) / BytesPerToken
}

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
