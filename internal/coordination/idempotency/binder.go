package idempotency

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/juju/errors"

	"limpetwall/internal/transport/boundedqueue"
	"limpetwall/internal/transport/objectapi"
)

// Errors of Binder.Bind. In all of these cases the request did not run, since it
// had not been sent to an agent yet.
const (
	ErrPlatform = errors.ConstError("platform unavailable, key not bound")
	ErrPageFull = errors.ConstError("no room for more keys")
	ErrBusy     = errors.ConstError("too many keys waiting to be bound")
)

// PageCount is the number of objects that keys are spread over. It is part of the
// stored format: processes with different values would not find each other's
// bindings.
const PageCount = 256

// pagePrefix begins the pages' names in the platform's store. It is part of the stored
// format, too.
const pagePrefix = "claims."

// Config configures a Binder.
type Config struct {
	// BatchDelay is how long keys are collected before a write.
	BatchDelay time.Duration
	// Retention is how long a binding is kept.
	Retention time.Duration
	// MaxWaiting limits the keys that wait to be bound.
	MaxWaiting int
	// MaxTries limits the attempts to write one page for one batch.
	MaxTries int
	// CallTimeout limits the time of one platform call.
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
	queue *boundedqueue.Queue[bindRequest]

	mu sync.Mutex
	// recent holds the bindings that this entry has answered with within recentTime.
	recent map[Key]recentBinding
}

// recentBinding is a binding that callers rely on and an older copy of the platform may lack.
type recentBinding struct {
	ticket Ticket
	at     time.Time
}

const (
	// recentTime is longer than the age of any copy from which the platform comes back.
	recentTime = time.Minute
	// maxRecent bounds the recent bindings, at about 100 bytes each: a thousand a second.
	maxRecent = 60_000
	// restoreRetryDelay is the pause before recent bindings are written again after a write failed.
	restoreRetryDelay = 200 * time.Millisecond
)

// NewBinder returns a binder; Run must run for it to answer.
func NewBinder(cfg Config, api objectapi.API) *Binder {
	return &Binder{cfg: cfg, api: api, queue: boundedqueue.New[bindRequest](cfg.MaxWaiting), recent: map[Key]recentBinding{}}
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

// Run collects keys and writes pages until ctx ends.
func (b *Binder) Run(ctx context.Context) {
	var restoring sync.WaitGroup
	defer restoring.Wait()
	restoring.Go(func() { b.restoreLoop(ctx) })
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
			// Pages are independent: a slow one must not delay the others.
			go b.bindPage(ctx, number, batch)
		}
	}
}

// restoreLoop writes recent bindings again when the platform has come back from an older copy: a retry
// of a request that ran would otherwise be bound to another ticket, and run twice.
func (b *Binder) restoreLoop(ctx context.Context) {
	returned := b.api.Eras().Changed()
	var retry <-chan time.Time
	for {
		select {
		case <-returned:
			// Taken before the writes: the platform may come back from an older copy again during them.
			returned = b.api.Eras().Changed()
		case <-retry:
		case <-ctx.Done():
			return
		}
		retry = nil
		if err := b.restore(ctx); err != nil {
			retry = time.After(restoreRetryDelay)
		}
	}
}

// restore writes recent bindings again, as far as the platform lacks them. It returns an error if the platform could not be
// read or written.
func (b *Binder) restore(ctx context.Context) (err error) {
	batches := map[int][]bindRequest{}
	b.mu.Lock()
	for key, r := range b.recent {
		if time.Since(r.at) < recentTime {
			batches[pageNumber(key)] = append(batches[pageNumber(key)], bindRequest{key: key, proposed: r.ticket, result: make(chan bindResult, 1)})
		}
	}
	b.mu.Unlock()
	for number, batch := range batches {
		b.bindPage(ctx, number, batch)
		if result := <-batch[0].result; errors.Is(result.err, ErrPlatform) {
			err = result.err
		}
	}
	return err
}

// remember keeps a binding that is about to be answered.
func (b *Binder) remember(key Key, ticket Ticket) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.recent) >= maxRecent {
		maps.DeleteFunc(b.recent, func(_ Key, r recentBinding) bool { return time.Since(r.at) > recentTime })
	}
	if len(b.recent) < maxRecent {
		b.recent[key] = recentBinding{ticket, time.Now()}
	}
}

// recentTicket returns the ticket that a key was bound to within recentTime, the zero ticket if it was not.
func (b *Binder) recentTicket(key Key) Ticket {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.recent[key]; time.Since(r.at) < recentTime {
		return r.ticket
	}
	return Ticket{}
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
// When the outcome of a write is unknown, the page is read again. If the keys are not
// in it, it is written again under the version condition of that read, which is the
// same as before unless another entry has written, as for plans. Whichever copy
// arrives binds the same tickets, and after a conflict the next read shows which
// entry was first. Callers get answers only from a page that was read or written with
// certainty.
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

// addUnbound binds the batch's keys that are not bound yet to their proposed
// tickets, and reports whether there were any.
func (b *Binder) addUnbound(p *page, batch []bindRequest) bool {
	now := time.Now()
	added := false
	for _, r := range batch {
		ticket := r.proposed
		if known := b.recentTicket(r.key); known != (Ticket{}) {
			ticket = known
		}
		if _, bound := p.bindings[r.key]; !bound && ticket != (Ticket{}) {
			p.bindings[r.key] = binding{ticket: ticket, boundAt: uint32(now.Unix())}
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
		ticket := p.bindings[r.key].ticket
		if ticket != (Ticket{}) {
			b.remember(r.key, ticket)
		}
		r.result <- bindResult{ticket: ticket}
	}
}
