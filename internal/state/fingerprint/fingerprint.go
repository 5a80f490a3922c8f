// Package fingerprint identifies requests by a hash of their content, so that a repeated request is recognised without
// its body being stored.
package fingerprint

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"io"
	"strings"

	"github.com/juju/errors"
)

// Size is the length of a key in bytes. A collision of two keys (128 bits of SHA-256) could block a request that should
// run. As the customer is hashed too, a customer that could find such a collision would block only its own requests.
const Size = 16

// subjectSize is the length in bytes of the part of a key that requests for one resource of a customer share.
const subjectSize = 8

// ErrMalformed is returned when a text is not the hexadecimal form of a key.
const ErrMalformed = errors.ConstError("fingerprint must be 32 hexadecimal digits")

// Key is a request's fingerprint.
type Key [Size]byte

// String returns the key in hexadecimal.
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

// Subject identifies the resource of a customer that a request is about. Different requests for one resource, such as
// a booking and a look-up of it, have the same subject.
type Subject [subjectSize]byte

// Subject returns the key's subject.
func (k Key) Subject() Subject { return Subject(k[:subjectSize]) }

// Parse decodes a key from its hexadecimal form and reports whether it is valid.
func Parse(s string) (Key, bool) {
	var k Key
	raw, err := hex.DecodeString(s)
	if err != nil || len(raw) != Size {
		return Key{}, false
	}
	copy(k[:], raw)
	return k, true
}

// Request holds the properties of a request, besides its body, that identify it.
type Request struct {
	// Customer that sent the request; empty where no API key is required.
	Customer string
	// Host is the host name in the request, or the service's ID.
	Host   string
	Method string
	// Target is the path with its query as the caller sent it; empty where the body is a digest that covers the path.
	Target string
}

// Of returns the key of a request, whose body may come in pieces. Headers aren't hashed: they change with each attempt. The key begins with the
// request's subject, so that processes can relate the keys that they tell each other.
func Of(r Request, body ...[]byte) Key {
	key := hashAll(r, body)
	if resource := r.resource(); resource != "" && r.Customer != "" {
		h := sha256.New()
		for _, field := range []string{r.Customer, resource} {
			writeLength(h, len(field))
			io.WriteString(h, field)
		}
		copy(key[:subjectSize], h.Sum(nil))
	}
	return key
}

// resource returns the last segment of the path, which names the resource in most interfaces; it is empty if there is
// no path.
func (r Request) resource() string {
	path, _, _ := strings.Cut(r.Target, "?")
	return path[strings.LastIndexByte(path, '/')+1:]
}

// hashAll hashes all that identifies a request.
func hashAll(r Request, body [][]byte) Key {
	h := sha256.New()
	for _, field := range []string{r.Customer, r.Host, r.Method, r.Target} {
		writeLength(h, len(field))
		io.WriteString(h, field)
	}
	length := 0
	for _, piece := range body {
		length += len(piece)
	}
	writeLength(h, length)
	for _, piece := range body {
		h.Write(piece)
	}
	return Key(h.Sum(nil)[:Size])
}

// writeLength hashes the length of a field before its content. Without it, the fields "ab", "c" and "a", "bc" would have
// the same key.
func writeLength(h hash.Hash, n int) {
	h.Write(binary.BigEndian.AppendUint64(nil, uint64(n)))
}

// partTag marks the keys of prompt parts, at the place that follows the subject in the keys of requests.
const partTag = "part"

// OfPart returns the key of a prompt's part that several requests may contain. The scope separates customers that
// share nothing, and prompts whose parts are identified in another way.
func OfPart(scope, id string) Key {
	h := sha256.New()
	for _, field := range []string{scope, id} {
		writeLength(h, len(field))
		io.WriteString(h, field)
	}
	key := Key(h.Sum(nil)[:Size])
	copy(key[subjectSize:], partTag)
	return key
}

// IsPart reports whether the key is that of a prompt's part and not of a request. One request in 2^32 is mistaken
// for a part.
func (k Key) IsPart() bool { return string(k[subjectSize:subjectSize+len(partTag)]) == partTag }
