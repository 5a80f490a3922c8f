// Package idempotency binds callers' own idempotency keys to tickets, in the
// platform's object API. The binding only says which agent incarnation holds
// the one record of a key; at-most-once itself rests on that record.
//
// Keys are spread over pages, one object each. An entry gathers the keys that
// arrive within a few milliseconds and writes each page once, conditionally: of
// two entries that bind one key at once, the second meets a conflict, reads the
// page and finds the first one's ticket.
package idempotency

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/juju/errors"
)

// KeySize is the length of a hashed key.
const KeySize = 16

// Key is the hash of customer, service and the caller's key.
type Key [KeySize]byte

// HashKey hashes a caller's key. The parts are separated by their lengths, so
// that no customer can form another's key.
func HashKey(customer, service, key string) Key {
	h := sha256.New()
	for _, field := range []string{customer, service, key} {
		var n [4]byte
		binary.BigEndian.PutUint32(n[:], uint32(len(field)))
		h.Write(n[:])
		h.Write([]byte(field))
	}
	return Key(h.Sum(nil)[:KeySize])
}

// Ticket names one permission to run, at one agent incarnation.
type Ticket struct {
	Incarnation uint64
	Sequence    uint64
}

// binding is one row of a page.
type binding struct {
	ticket Ticket
	// boundAt is in Unix seconds, by the writer's clock.
	boundAt uint32
}

const (
	bindingSize = KeySize + 8 + 8 + 4
	// maxBindings keeps a page below the platform's largest value.
	maxBindings = 20_000
)

// ErrMalformed tells that a page's bytes are not whole rows.
const ErrMalformed = errors.ConstError("malformed claims page")

type page struct {
	bindings map[Key]binding
	version  int64
}

func decodePage(data []byte) (page, error) {
	if len(data)%bindingSize != 0 {
		return page{}, errors.Annotatef(ErrMalformed, "%d bytes", len(data))
	}
	p := page{bindings: make(map[Key]binding, len(data)/bindingSize)}
	for ; len(data) > 0; data = data[bindingSize:] {
		p.bindings[Key(data[:KeySize])] = binding{
			ticket: Ticket{
				Incarnation: binary.BigEndian.Uint64(data[KeySize:]),
				Sequence:    binary.BigEndian.Uint64(data[KeySize+8:]),
			},
			boundAt: binary.BigEndian.Uint32(data[KeySize+16:]),
		}
	}
	return p, nil
}

func (p page) encode() []byte {
	out := make([]byte, 0, len(p.bindings)*bindingSize)
	for key, b := range p.bindings {
		out = append(out, key[:]...)
		out = binary.BigEndian.AppendUint64(out, b.ticket.Incarnation)
		out = binary.BigEndian.AppendUint64(out, b.ticket.Sequence)
		out = binary.BigEndian.AppendUint32(out, b.boundAt)
	}
	return out
}

// prune drops the bindings older than keep. A caller that retries later than
// that would run a second time; keep is a documented promise to callers.
func (p page) prune(now time.Time, retention time.Duration) {
	oldest := now.Add(-retention).Unix()
	for key, b := range p.bindings {
		if int64(b.boundAt) < oldest {
			delete(p.bindings, key)
		}
	}
}
