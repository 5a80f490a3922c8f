// Package contextkey computes the keys under which chunks of prompt context are
// cached. A key is a hash over the customer's secret salt, the model, the weight
// version, the adapter and the whole prefix, so equal prefixes of two customers
// with different salts, or of two weight versions, share nothing.
package contextkey

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"hash"

	"github.com/juju/errors"
)

// ErrMalformed is returned when a text is not the hexadecimal form of a key.
const ErrMalformed = errors.ConstError("context key must be 32 hexadecimal digits")

// ChunkTokens is the size of one chunk of context, in tokens.
const ChunkTokens = 2000

// BytesPerToken is the text length assumed for one token: entries don't run the
// models' tokenizers.
const BytesPerToken = 4

// ChunkBytes is the text length of one chunk, in bytes.
const ChunkBytes = ChunkTokens * BytesPerToken

// Size is the length of a key in bytes.
const Size = 16

// Key identifies a chunk of context together with the whole prefix before it.
type Key [Size]byte

// String returns the key in hexadecimal.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// Parse decodes a key from its hexadecimal form and reports whether it is valid.
func Parse(s string) (Key, bool) {
	var k Key
	raw, err := hex.DecodeString(s)
	if err != nil || len(raw) != Size {
		return k, false
	}
	copy(k[:], raw)
	return k, true
}

// Scope holds what a key depends on besides the text.
type Scope struct {
	Salt          []byte
	Model         string
	WeightVersion string
	Adapter       string
}

// ChunkKeys returns the keys of the full chunks of text, first to last. A last
// chunk shorter than ChunkBytes has no key and is always computed by the engine.
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

// scopeHash hashes the scope's fields, each prefixed with its length. Without the
// lengths, fields ("ab","c") and ("a","bc") would share contexts.
func scopeHash(mac hash.Hash, scope Scope) Key {
	for _, field := range []string{scope.Model, scope.WeightVersion, scope.Adapter} {
		n := len(field)
		mac.Write([]byte{byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)})
		mac.Write([]byte(field))
	}
	return truncatedSum(mac)
}

// truncatedSum returns the first Size bytes of the sum as a key.
func truncatedSum(mac hash.Hash) Key {
	var full [sha256.Size]byte
	var k Key
	copy(k[:], mac.Sum(full[:0]))
	return k
}

// EstimateTokens estimates the number of tokens of a text from its length,
// rounded up.
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
