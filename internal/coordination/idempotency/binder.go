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

type bindRequest struct {
	key      Key
	proposed Ticket
	result   chan bindResult
}

type bindResult struct {
	ticket Ticket
	err    error
}

// Binder binds keys for one entry.
type Binder struct {
	cfg   Config
	api   objectapi.API
	queue *ring.Ring[bindRequest]
}

// NewBinder returns a binder; Run must run for it to answer.
func NewBinder(cfg Config, api objectapi.API) *Binder {
	return &Binder{cfg: cfg, api: api, queue: ring.New[bindRequest](cfg.MaxWaiting)}
}

// Bind binds key to the proposed ticket, or returns the ticket that it is
// already bound to. With the zero ticket it only looks the key up, and returns
// the zero ticket if it is not bound.
func (b *Binder) Bind(ctx context.Context, key Key, proposed Ticket) (Ticket, error) {
	r := bindRequest{key: key, proposed: proposed, result: make(chan bindResult, 1)}
	if !b.queue.TryPush(r) {
		return Ticket{}, ErrBusy
	}
	select {
	case res := <-r.result:
		return res.ticket, res.err
	case <-ctx.Done():
		return Ticket{}, errors.WithType(context.Cause(ctx), ErrPlatform)
	}
}

// Run gathers and writes until ctx ends.
func (b *Binder) Run(ctx context.Context) {
	for {
		first, err := b.queue.Pop(ctx)
		if err != nil {
			return
		}
		timer := time.NewTimer(b.cfg.BatchDelay)
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		for number, batch := range b.collectBatches(first) {
			// Pages are independent: a slow one must not hold up the others.
			go b.bindPage(ctx, number, batch)
		}
	}
}

func (b *Binder) collectBatches(first bindRequest) map[int][]bindRequest {
	batches := map[int][]bindRequest{pageNumber(first.key): {first}}
	for range b.cfg.MaxWaiting {
		r, ok := b.queue.TryPop()
		if !ok {
			break
		}
		batches[pageNumber(r.key)] = append(batches[pageNumber(r.key)], r)
	}
	return batches
}

func pageNumber(k Key) int { return int(k[0]) % PageCount }

func pageKey(number int) string { return fmt.Sprintf("%s%03d", pagePrefix, number) }

// bindPage binds a batch of keys of one page.
//
// A write whose answer was lost is repeated under the same version condition,
// as for plans: either copy that arrives binds the same tickets, and a
// conflict leads to a read that shows who came first. Only a page that was read
// or written with certainty gives answers.
func (b *Binder) bindPage(ctx context.Context, number int, batch []bindRequest) {
	var err error
	for range b.cfg.MaxTries {
		var p page
		if p, err = b.readPage(ctx, number); err != nil {
			break
		}
		added := b.addUnbound(&p, batch)
		if !added {
			b.reply(p, batch)
			return
		}
		if len(p.bindings) > maxBindings {
			err = ErrPageFull
			break
		}
		err = b.writePage(ctx, number, p)
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
		r.result <- bindResult{err: err}
	}
}

func (b *Binder) readPage(ctx context.Context, number int) (page, error) {
	ctx, cancel := context.WithTimeout(ctx, b.cfg.CallTimeout)
	defer cancel()
	o, err := b.api.Get(ctx, pageKey(number))
	if errors.Is(err, objectapi.ErrNotFound) {
		return page{bindings: map[Key]binding{}}, nil
	}
	if err != nil {
		return page{}, err
	}
	p, err := decodePage(o.Value)
	p.version = o.Version
	return p, err
}

// addUnbound adds the batch's keys that are not bound yet; false if there are none.
func (b *Binder) addUnbound(p *page, batch []bindRequest) bool {
	now := time.Now()
	added := false
	for _, r := range batch {
		if _, bound := p.bindings[r.key]; !bound && r.proposed != (Ticket{}) {
			p.bindings[r.key] = binding{ticket: r.proposed, boundAt: uint32(now.Unix())}
			added = true
		}
	}
	if added {
		p.prune(now, b.cfg.Retention)
	}
	return added
}

func (b *Binder) writePage(ctx context.Context, number int, p page) error {
	ctx, cancel := context.WithTimeout(ctx, b.cfg.CallTimeout)
	defer cancel()
	_, err := b.api.Put(ctx, pageKey(number), p.encode(), p.version)
	return err
}

func (b *Binder) reply(p page, batch []bindRequest) {
	for _, r := range batch {
		r.result <- bindResult{ticket: p.bindings[r.key].ticket}
	}
}
