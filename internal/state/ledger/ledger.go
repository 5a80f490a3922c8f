// Package ledger is an agent's record of requests that may run at most once.
//
// The agent issues tickets, and each ticket may start one run. The records
// exist only in the memory of this process: a retry through any entry reaches
// the same incarnation of the agent, and once that incarnation is gone no other
// process can run the ticket. This needs no lease and no call to the platform,
// so neither a pause of the process nor an outage can cause a second run.
package ledger

import (
	"crypto/subtle"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Errors of Begin and Issue. The comment of each says whether the request ran.
const (
	// ErrUnknownTicket is returned when this process has no record of the ticket,
	// or no longer has it; the request may have run.
	ErrUnknownTicket = errors.ConstError("no record of this ticket")
	// ErrExpired is returned when the ticket was not used within Config.TicketTTL;
	// the request did not run, and the ticket can never start it.
	ErrExpired = errors.ConstError("ticket expired unused")
	// ErrRequestMismatch is returned when the ticket was used for another request;
	// this request did not run.
	ErrRequestMismatch = errors.ConstError("ticket was used for another request")
	// ErrFull is returned when Config.MaxTickets or Config.MaxBytes would be
	// exceeded; the request did not run.
	ErrFull = errors.ConstError("record of requests is full")
)

// Config holds the time and memory limits of a ledger.
type Config struct {
	// TicketTTL is how long after its issue a ticket may start a run.
	TicketTTL time.Duration
	// Retention is how long a record is retained after its ticket's TTL has passed.
	Retention time.Duration
	// MaxTickets limits the tickets whose TTL and retention haven't both passed.
	MaxTickets int
	// MaxBytes limits the memory for all answers: a run whose reservation would
	// exceed it isn't started. MaxAnswerBytes is the reservation of each run. A
	// larger answer uses more while it has followers, and isn't retained for replay.
	// If such answers exceed MaxBytes, the largest is discarded, unless it is the only one.
	MaxBytes       int64
	MaxAnswerBytes int64
}

// DefaultConfig returns the limits that agents use by default.
func DefaultConfig() Config {
	return Config{
		TicketTTL: 10 * time.Minute, Retention: time.Hour, MaxTickets: 1 << 18,
		MaxBytes: 96 << 20, MaxAnswerBytes: 256 << 10,
	}
}

// batch is a range of consecutive ticket sequence numbers issued together.
type batch struct {
	first, count uint64
	issuedAt     time.Time
}

// Ledger holds the tickets and records of one incarnation of an agent. It is
// safe for concurrent use.
type Ledger struct {
	cfg         Config
	incarnation uint64

	mu           sync.Mutex
	nextSequence uint64
	batches      []batch
	records      map[uint64]*Record
	usedBytes    int64
	// large are the records whose answers exceed MaxAnswerBytes.
	large map[*Record]struct{}
}

// New returns an empty ledger.
func New(cfg Config, incarnation uint64) *Ledger {
	return &Ledger{cfg: cfg, incarnation: incarnation, nextSequence: 1, records: map[uint64]*Record{}, large: map[*Record]struct{}{}}
}

// Incarnation returns the incarnation of the agent process that holds the records.
func (l *Ledger) Incarnation() uint64 { return l.incarnation }

// TicketTTL returns how long after its issue a ticket may start a run.
func (l *Ledger) TicketTTL() time.Duration { return l.cfg.TicketTTL }

// Issue issues count tickets with consecutive sequence numbers and returns the
// first number. It returns ErrFull if that would exceed MaxTickets.
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

// expire removes whole batches, oldest first. The sequence numbers of a removed
// batch are below those of all remaining batches and are never issued again, so
// a removed ticket can never start a run, and no record is needed to refuse it:
// memory stays bounded.
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
				delete(l.large, r)
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

// Begin returns the record of a ticket, and creates it on first use of the
// ticket. started is true for the caller that created it: that caller must run
// the request and then call Finish or Abandon on the record. All other callers
// follow the record. The errors are ErrUnknownTicket, ErrExpired,
// ErrRequestMismatch and ErrFull.
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
	case !l.makeRoom(l.cfg.MaxAnswerBytes):
		// Refusing the new run is the only safe choice: if an older record were
		// removed instead, the next retry of its request would run it again.
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

// makeRoom discards answers larger than MaxAnswerBytes, but not the last of them, until size bytes more fit. It reports whether they
// do.
func (l *Ledger) makeRoom(size int64) bool {
	for l.usedBytes+size > l.cfg.MaxBytes {
		if len(l.large) < 2 {
			return false
		}
		var largest *Record
		for r := range l.large {
			if largest == nil || r.answerBytes > largest.answerBytes {
				largest = r
			}
		}
		largest.discard()
		largest.notify()
	}
	return true
}

// UsedBytes returns the number of bytes reserved for or used by answers.
func (l *Ledger) UsedBytes() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.usedBytes
}

// Record holds the state and the answer of the run that a ticket started.
type Record struct {
	ledger   *Ledger
	sequence uint64
	customer string
	digest   []byte

	// The fields below are guarded by the ledger's mutex.
	reservedBytes int64
	events        []any
	answerBytes   int64
	followers     int
	discarded     bool
	done          bool
	changed       chan struct{}
}

// Append adds an event of size bytes to the answer and wakes the followers. It
// does nothing once the answer has been discarded.
func (r *Record) Append(event any, size int) {
	r.ledger.mu.Lock()
	defer r.ledger.mu.Unlock()
	if r.discarded {
		return
	}
	r.events = append(r.events, event)
	r.answerBytes += int64(size)
	if r.answerBytes > r.ledger.cfg.MaxAnswerBytes {
		r.ledger.large[r] = struct{}{}
	}
	if extra := r.answerBytes - r.reservedBytes; extra > 0 {
		r.reservedBytes += extra
		r.ledger.usedBytes += extra
		r.ledger.makeRoom(0)
	}
	r.discardIfTooLarge()
	r.notify()
}

// discardIfTooLarge discards an answer larger than MaxAnswerBytes once nobody
// follows it: the first caller still gets the whole answer, and a later retry
// finds that the request ran but not its answer.
func (r *Record) discardIfTooLarge() {
	if r.followers > 0 || r.answerBytes <= r.ledger.cfg.MaxAnswerBytes {
		return
	}
	r.discard()
}

func (r *Record) discard() {
	delete(r.ledger.large, r)
	r.events, r.answerBytes, r.discarded = nil, 0, true
	r.ledger.usedBytes -= r.reservedBytes
	r.reservedBytes = 0
}

// Follow registers a follower of the record. While a record has followers, its
// answer is discarded only if the memory is needed. Each follower must call Unfollow at the end.
func (r *Record) Follow() {
	r.ledger.mu.Lock()
	defer r.ledger.mu.Unlock()
	r.followers++
}

// Unfollow removes a follower that Follow registered.
func (r *Record) Unfollow() {
	r.ledger.mu.Lock()
	defer r.ledger.mu.Unlock()
	r.followers--
	r.discardIfTooLarge()
}

// Finish marks the run as ended. Its answer is retained for retries unless it is
// too large.
func (r *Record) Finish() {
	r.ledger.mu.Lock()
	defer r.ledger.mu.Unlock()
	r.ledger.usedBytes -= r.reservedBytes - r.answerBytes
	r.reservedBytes = r.answerBytes
	r.done = true
	r.discardIfTooLarge()
	r.notify()
}

// Abandon removes the record of a run that certainly did not happen, as its
// endpoint was not reached: the ticket may start a run again. Followers see the
// record as done.
func (r *Record) Abandon() {
	r.ledger.mu.Lock()
	defer r.ledger.mu.Unlock()
	r.ledger.usedBytes -= r.reservedBytes
	r.reservedBytes = 0
	r.done = true
	delete(r.ledger.records, r.sequence)
	delete(r.ledger.large, r)
	r.notify()
}

// notify wakes the callers that wait for a change of the record.
func (r *Record) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// maxEvents bounds the events that a follower takes at once, and so keeps of an answer that is discarded meanwhile.
const maxEvents = 16

// EventsFrom returns events after the first n, whether the run has ended,
// whether the answer has been discarded, and a channel that is closed at the
// next change. If no event is left, it returns none.
func (r *Record) EventsFrom(n int) (events []any, done, discarded bool, changed <-chan struct{}) {
	r.ledger.mu.Lock()
	defer r.ledger.mu.Unlock()
	next := r.events[min(n, len(r.events)):]
	return slices.Clone(next[:min(len(next), maxEvents)]), r.done, r.discarded, r.changed
}
