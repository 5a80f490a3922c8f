// Package idempotency binds callers' own idempotency keys to tickets, in objects
// of the platform's store. A binding only says which agent incarnation holds the
// single record of a key; the at-most-once guarantee rests on that record.
//
// Keys are spread over pages, one object each. An entry collects the keys that
// arrive within a few milliseconds and writes each page once, with a conditional
// write: if two entries bind the same key at the same time, the second one gets a
// version conflict, reads the page again and finds the first one's ticket.
package idempotency

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/juju/errors"
)

// KeySize is the length of a hashed key in bytes.
const KeySize = 16

// Key is the hash of customer, service and the caller's key.
type Key [KeySize]byte

// HashKey hashes a caller's key together with its customer and service. Each field
// is preceded by its length, so that no customer can form another's key.
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

// Ticket identifies one permission to run a request, at one agent incarnation.
type Ticket struct {
	Incarnation uint64
	Sequence    uint64
}

// binding is the ticket that a key is bound to.
type binding struct {
	ticket Ticket
	// boundAt is in Unix seconds by the clock of the entry that bound the key.
	boundAt uint32
}

const (
	bindingSize = KeySize + 8 + 8 + 4
	// maxBindings keeps a page below the platform's size limit for a value.
	maxBindings = 20_000
)

// ErrMalformed is returned when a page's length is not a multiple of bindingSize.
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

// prune removes the bindings older than retention. A request that is retried later
// than that would run a second time; the retention is a documented promise to
// callers.
func (p page) prune(now time.Time, retention time.Duration) {
	oldest := now.Add(-retention).Unix()
	for key, b := range p.bindings {
		if int64(b.boundAt) < oldest {
			delete(p.bindings, key)
		}
	}
}
