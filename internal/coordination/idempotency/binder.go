package idempotency

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"

	"limpetwall/internal/transport/objectapi"
	"limpetwall/internal/transport/ring"
)

// Errors of binding. The request did not run in any of these cases, for it has
// not been sent to an agent yet.
const (
	ErrPlatform = errors.ConstError("platform unavailable, key not bound")
	ErrPageFull = errors.ConstError("no room for more keys")
	ErrBusy     = errors.ConstError("too many keys waiting to be bound")
)

// PageCount is the number of objects that keys are spread over. It is part of the
// stored format: processes with different values would not find each other's
// bindings.
const PageCount = 256

const pagePrefix = "claims."

// Config tunes a binder.
type Config struct {
	// BatchDelay is how long keys are gathered before a write.
	BatchDelay time.Duration
	// Retention is how long a binding stays.
	Retention time.Duration
	// MaxWaiting bounds the keys that wait to be bound.
	MaxWaiting int
	// MaxTries bounds the writes of one page in one round.
	MaxTries int
	// CallTimeout bounds one platform call.
	CallTimeout time.Duration
}

// DefaultConfig is what entries use.
func DefaultConfig() Config {
	return Config{BatchDelay: 5 * time.Millisecond, Retention: 24 * time.Hour, MaxWaiting: 4096, MaxTries: 8, CallTimeout: 2 * time.Second}
}

type request struct {
	key    Key
	ticket Ticket
	answer chan answer
}

type answer struct {
	ticket Ticket
	err    error
}

// Binder binds keys for one entry.
type Binder struct {
	cfg Config
	api objectapi.API
	in  *ring.Ring[request]
}

// NewBinder returns a binder; Run must run for it to answer.
func NewBinder(cfg Config, api objectapi.API) *Binder {
	return &Binder{cfg: cfg, api: api, in: ring.New[request](cfg.MaxWaiting)}
}

// Bind binds key to the proposed ticket, or returns the ticket that it is
// already bound to. With the zero ticket it only looks the key up, and returns
// the zero ticket if it is not bound.
func (b *Binder) Bind(ctx context.Context, key Key, proposed Ticket) (Ticket, error) {
	r := request{key: key, ticket: proposed, answer: make(chan answer, 1)}
	if !b.in.TryPush(r) {
		return Ticket{}, ErrBusy
	}
	select {
	case a := <-r.answer:
		return a.ticket, a.err
	case <-ctx.Done():
		return Ticket{}, errors.WithType(context.Cause(ctx), ErrPlatform)
	}
}

// Run gathers and writes until ctx ends.
func (b *Binder) Run(ctx context.Context) {
	for {
		first, err := b.in.Pop(ctx)
		if err != nil {
			return
		}
		timer := time.NewTimer(b.cfg.BatchDelay)
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		for number, batch := range b.gather(first) {
			// Pages are independent: a slow one must not hold up the others.
			go b.bindPage(ctx, number, batch)
		}
	}
}

func (b *Binder) gather(first request) map[int][]request {
	batches := map[int][]request{pageOf(first.key): {first}}
	for range b.cfg.MaxWaiting {
		r, ok := b.in.TryPop()
		if !ok {
			break
		}
		batches[pageOf(r.key)] = append(batches[pageOf(r.key)], r)
	}
	return batches
}

func pageOf(k Key) int { return int(k[0]) % PageCount }

func pageKey(number int) string { return fmt.Sprintf("%s%03d", pagePrefix, number) }

// bindPage binds a batch of keys of one page.
//
// A write whose answer was lost is repeated under the same version condition,
// as for plans: either copy that arrives binds the same tickets, and a
// conflict leads to a read that shows who came first. Only a page that was read
// or written with certainty gives answers.
func (b *Binder) bindPage(ctx context.Context, number int, batch []request) {
	var err error
	for range b.cfg.MaxTries {
		var p page
		if p, err = b.read(ctx, number); err != nil {
			break
		}
		wanted := b.merge(&p, batch)
		if !wanted {
			b.reply(p, batch)
			return
		}
		if len(p.rows) > maxRows {
			err = ErrPageFull
			break
		}
		err = b.write(ctx, number, p)
		if err == nil {
			b.reply(p, batch)
			return
		}
		if !errors.Is(err, objectapi.ErrConflict) && !errors.Is(err, objectapi.ErrOutcomeUnknown) {
			break
		}
	}
	if !errors.Is(err, ErrPageFull) {
		err = errors.WithType(err, ErrPlatform)
	}
	for _, r := range batch {
		r.answer <- answer{err: err}
	}
}

func (b *Binder) read(ctx context.Context, number int) (page, error) {
	ctx, cancel := context.WithTimeout(ctx, b.cfg.CallTimeout)
	defer cancel()
	o, err := b.api.Get(ctx, pageKey(number))
	if errors.Is(err, objectapi.ErrNotFound) {
		return page{rows: map[Key]binding{}}, nil
	}
	if err != nil {
		return page{}, err
	}
	p, err := decodePage(o.Value)
	p.version = o.Version
	return p, err
}

// merge adds the batch's keys that are not bound yet; false if there are none.
func (b *Binder) merge(p *page, batch []request) bool {
	now := time.Now()
	added := false
	for _, r := range batch {
		if _, bound := p.rows[r.key]; !bound && r.ticket != (Ticket{}) {
			p.rows[r.key] = binding{ticket: r.ticket, at: uint32(now.Unix())}
			added = true
		}
	}
	if added {
		p.prune(now, b.cfg.Retention)
	}
	return added
}

func (b *Binder) write(ctx context.Context, number int, p page) error {
	ctx, cancel := context.WithTimeout(ctx, b.cfg.CallTimeout)
	defer cancel()
	_, err := b.api.Put(ctx, pageKey(number), p.encode(), p.version)
	return err
}

func (b *Binder) reply(p page, batch []request) {
	for _, r := range batch {
		r.answer <- answer{ticket: p.rows[r.key].ticket}
	}
}
