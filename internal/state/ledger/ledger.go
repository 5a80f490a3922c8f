// Package ledger is an agent's record of requests that may not be repeated.
//
// The agent mints tickets; each may start one run. The record lives only in
// this process: a retry through any entry comes to the same incarnation, and
// when that is gone nobody else can run the ticket. No lease and no platform
// call is needed, so neither a pause nor an outage can cause a second run.
package ledger

import (
	"crypto/subtle"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Errors of the ledger. The comment of each says whether the request ran.
const (
	// ErrUnknownTicket: the record is gone or was never here; it may have run.
	ErrUnknownTicket = errors.ConstError("no record of this ticket")
	// ErrExpired: the ticket was not used in time; it did not run and never will.
	ErrExpired = errors.ConstError("ticket expired unused")
	// ErrRequestMismatch: the ticket was used for another request; this one did not run.
	ErrRequestMismatch = errors.ConstError("ticket was used for another request")
	// ErrFull: the bounds on what is kept leave no room; it did not run.
	ErrFull = errors.ConstError("record of requests is full")
)

// Config bounds a ledger.
type Config struct {
	// TicketTTL is how long an unused ticket may start a run.
	TicketTTL time.Duration
	// Retention is how long a record outlives its ticket's validity.
	Retention time.Duration
	// MaxTickets bounds the tickets minted and not yet void.
	MaxTickets int
	// MaxBytes bounds all answers kept; AnswerBytes is reserved for each run and
	// bounds the part of an answer that is kept for replay.
	MaxBytes       int64
	MaxAnswerBytes int64
}

// DefaultConfig is what agents use.
func DefaultConfig() Config {
	return Config{
		TicketTTL: 10 * time.Minute, Retention: time.Hour, MaxTickets: 1 << 18,
		MaxBytes: 96 << 20, MaxAnswerBytes: 256 << 10,
	}
}

type batch struct {
	first, count uint64
	issuedAt     time.Time
}

// Ledger keeps the records of one incarnation; safe for concurrent use.
type Ledger struct {
	cfg         Config
	incarnation uint64

	mu           sync.Mutex
	nextSequence uint64
	batches      []batch
	records      map[uint64]*Record
	usedBytes    int64
}

// New returns an empty ledger.
func New(cfg Config, incarnation uint64) *Ledger {
	return &Ledger{cfg: cfg, incarnation: incarnation, nextSequence: 1, records: map[uint64]*Record{}}
}

// Incarnation names the process that holds the records.
func (l *Ledger) Incarnation() uint64 { return l.incarnation }

// TicketTTL is how long an unused ticket may start a run.
func (l *Ledger) TicketTTL() time.Duration { return l.cfg.TicketTTL }

// Issue hands out count tickets with consecutive sequences, or ErrFull.
func (l *Ledger) Issue(count int, now time.Time) (first uint64, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	outstanding := uint64(0)
	if len(l.batches) > 0 {
		outstanding = l.nextSequence - l.batches[0].first
	}
	if outstanding+uint64(count) > uint64(l.cfg.MaxTickets) {
		return 0, ErrFull
	}
	first = l.nextSequence
	l.nextSequence += uint64(count)
	l.batches = append(l.batches, batch{first: first, count: uint64(count), issuedAt: now})
	return first, nil
}

// expire drops whole batches, oldest first. A dropped sequence is below every
// kept batch, so it is known to be void without a record of its own: memory
// stays bounded and no dropped ticket can ever start a run.
func (l *Ledger) expire(now time.Time) {
	for len(l.batches) > 0 {
		b := l.batches[0]
		if now.Sub(b.issuedAt) <= l.cfg.TicketTTL+l.cfg.Retention {
			return
		}
		for seq := b.first; seq < b.first+b.count; seq++ {
			if r, ok := l.records[seq]; ok && r.done {
				l.usedBytes -= r.reservedBytes
				delete(l.records, seq)
			}
		}
		l.batches = l.batches[1:]
	}
}

func (l *Ledger) batchWith(sequence uint64) (batch, bool) {
	for _, b := range l.batches {
		if sequence >= b.first && sequence < b.first+b.count {
			return b, true
		}
	}
	return batch{}, false
}

// Begin presents a ticket. started is true for exactly one caller, who must run
// the request and then call Finish or Abandon on the record; all others follow
// the record. Errors: see above.
func (l *Ledger) Begin(incarnation, sequence uint64, customer string, digest []byte, now time.Time) (r *Record, started bool, err error) {
	if incarnation != l.incarnation {
		return nil, false, ErrUnknownTicket
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	if r, ok := l.records[sequence]; ok {
		if r.customer != customer || subtle.ConstantTimeCompare(r.digest, digest) != 1 {
			return nil, false, ErrRequestMismatch
		}
		return r, false, nil
	}
	b, ok := l.batchWith(sequence)
	switch {
	case !ok:
		return nil, false, ErrUnknownTicket
	case now.Sub(b.issuedAt) > l.cfg.TicketTTL:
		return nil, false, ErrExpired
	case l.usedBytes+l.cfg.MaxAnswerBytes > l.cfg.MaxBytes:
		// Refusing new work is the only safe answer: dropping an older record
		// would turn its next retry into a second run.
		return nil, false, ErrFull
	}
	l.usedBytes += l.cfg.MaxAnswerBytes
	r = &Record{
		ledger: l, sequence: sequence, customer: customer, digest: digest,
		reservedBytes: l.cfg.MaxAnswerBytes, changed: make(chan struct{}),
	}
	l.records[sequence] = r
	return r, true, nil
}

// UsedBytes is the number of bytes reserved or kept.
func (l *Ledger) UsedBytes() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.usedBytes
}

// Record is the one run of a ticket and its answer.
type Record struct {
	ledger   *Ledger
	sequence uint64
	customer string
	digest   []byte

	// The fields below are guarded by the ledger's lock.
	reservedBytes int64
	events        []any
	answerBytes   int64
	followers     int
	discarded     bool
	done          bool
	changed       chan struct{}
}

// Append adds an event of size bytes.
func (r *Record) Append(event any, size int) {
	r.ledger.mu.Lock()
	defer r.ledger.mu.Unlock()
	if r.discarded {
		return
	}
	r.events = append(r.events, event)
	r.answerBytes += int64(size)
	if extra := r.answerBytes - r.reservedBytes; extra > 0 {
		r.reservedBytes += extra
		r.ledger.usedBytes += extra
	}
	r.discardIfTooLarge()
	r.notify()
}

// discardIfTooLarge drops an answer that is too large to keep once nobody is reading it: the
// first caller still gets it whole, a later retry learns that it ran.
func (r *Record) discardIfTooLarge() {
	if r.followers > 0 || r.answerBytes <= r.ledger.cfg.MaxAnswerBytes {
		return
	}
	r.events, r.answerBytes, r.discarded = nil, 0, true
	r.ledger.usedBytes -= r.reservedBytes
	r.reservedBytes = 0
}

// Follow begins reading the record; call Unfollow at the end.
func (r *Record) Follow() {
	r.ledger.mu.Lock()
	defer r.ledger.mu.Unlock()
	r.followers++
}

// Unfollow ends reading the record.
func (r *Record) Unfollow() {
	r.ledger.mu.Lock()
	defer r.ledger.mu.Unlock()
	r.followers--
	r.discardIfTooLarge()
}

// Finish ends the run; its answer stays for retries.
func (r *Record) Finish() {
	r.ledger.mu.Lock()
	defer r.ledger.mu.Unlock()
	r.ledger.usedBytes -= r.reservedBytes - r.answerBytes
	r.reservedBytes = r.answerBytes
	r.done = true
	r.discardIfTooLarge()
	r.notify()
}

// Abandon ends a run that surely did not happen (its endpoint was not reached):
// the ticket may start again. Followers see the end of the record.
func (r *Record) Abandon() {
	r.ledger.mu.Lock()
	defer r.ledger.mu.Unlock()
	r.ledger.usedBytes -= r.reservedBytes
	r.reservedBytes = 0
	r.done = true
	delete(r.ledger.records, r.sequence)
	r.notify()
}

func (r *Record) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// EventsFrom returns the events after the first n, whether the run has ended, whether
// the answer was not kept, and a channel closed at the next change.
func (r *Record) EventsFrom(n int) (events []any, done, discarded bool, changed <-chan struct{}) {
	r.ledger.mu.Lock()
	defer r.ledger.mu.Unlock()
	return r.events[min(n, len(r.events)):], r.done, r.discarded, r.changed
}
