package warmup

import (
	"context"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"limpetwall/internal/transport/objectapi"
	"limpetwall/internal/transport/sleep"
)

const (
	// keyPrefix is the prefix of the keys of claims; the endpoint's ID follows.
	keyPrefix = "warmup."
	// minRemaining is how long an endpoint must still be cold for a claim to be worth its calls.
	minRemaining = 500 * time.Millisecond
	// callTimeout bounds one call to the store.
	callTimeout = 700 * time.Millisecond
	// interval is how often claims of endpoints that are warm by now are released.
	interval = 500 * time.Millisecond
	// returnDelay is how long after the store came back from an older copy no endpoint is claimed: those
	// whose claims it has lost may not know yet.
	returnDelay = 3 * time.Second
	// sweepInterval is how often claims whose process has ended are looked for.
	sweepInterval = time.Minute
)

// Endpoint is an endpoint that is cold.
type Endpoint struct {
	ID          string
	Incarnation uint64
	// Until is when it will be warm.
	Until time.Time
	// PerSecond is the number of requests per second that it withstands.
	PerSecond float64
}

// Directory holds the endpoints and the right to send to them while they are cold.
type Directory interface {
	// ColdEndpoints lists the cold endpoints of this process's failure domain.
	ColdEndpoints(now time.Time) []Endpoint
	// AllowCold lets an incarnation of an endpoint get requests within a window while it is cold;
	// nil ends that.
	AllowCold(id string, incarnation uint64, w *Window)
}

// Claims holds the claims of one process. Its fields are set before Run.
type Claims struct {
	Store     objectapi.API
	Directory Directory
	Log       *zap.Logger
	// Holder identifies this start of the process.
	Holder string
	// Self is the name of this process in its domain, and Peers lists those of the others.
	Self  string
	Peers func() []string
	// Changed returns a channel that is closed when the endpoints change.
	Changed func() <-chan struct{}
	// IsLeader reports whether this process is the one to sweep; Exists whether an endpoint is
	// known.
	IsLeader func() bool
	Exists   func(id string) bool

	// held are the claims by endpoint. Only Run's goroutine uses it and what follows.
	held map[string]*claim
	// orphans are the claims that the last sweep found without an endpoint.
	orphans map[string]bool
}

// claim is the claim of an endpoint that this process has asked for.
type claim struct {
	incarnation uint64
	until       time.Time
	// version of the record, 0 if this process did not create it for certain.
	version int64
	// perSecond is the number of requests per second that the endpoint withstands.
	perSecond float64
	// uncertain is set if the outcome of its creation is unknown.
	uncertain bool
}

// Run claims and releases endpoints until ctx ends.
func (c *Claims) Run(ctx context.Context) {
	c.held, c.orphans = map[string]*claim{}, map[string]bool{}
	lastSweep := time.Now()
	for ctx.Err() == nil {
		changed, returned := c.Changed(), c.Store.Eras().Changed()
		now := time.Now()
		c.reclaim(ctx)
		c.claimCold(ctx, now)
		c.releaseWarm(ctx, now)
		if now.Sub(lastSweep) >= sweepInterval && c.IsLeader() {
			lastSweep = now
			c.sweep(ctx)
		}
		wait := time.NewTimer(interval)
		select {
		case <-returned:
		case <-changed:
			// Changes come in bursts: what follows within a moment is handled together.
			sleep.For(ctx, interval/10)
		case <-wait.C:
		case <-ctx.Done():
		}
		wait.Stop()
	}
}

// claimCold claims the cold endpoints that are this process's to claim.
func (c *Claims) claimCold(ctx context.Context, now time.Time) {
	var peers []string
	canClaim := c.Store.Eras().Age() >= returnDelay
	for i, e := range c.Directory.ColdEndpoints(now) {
		if known := c.held[e.ID]; known != nil {
			known.until = e.Until
			continue
		}
		if i == 0 || peers == nil {
			peers = c.Peers()
		}
		if !canClaim || e.Until.Sub(now) < minRemaining || !isFirst(c.Self, peers, e.ID) {
			continue
		}
		c.claim(ctx, e)
	}
}

// isFirst reports whether a process ranks before its peers for an endpoint, by rendezvous hashing.
func isFirst(self string, peers []string, endpoint string) bool {
	rank := func(name string) uint64 { return xxhash.Sum64String(name + "\x00" + endpoint) }
	own := rank(self)
	for _, peer := range peers {
		if peer != self && rank(peer) > own {
			return false
		}
	}
	return true
}

// claim creates the record of an endpoint. Only a creation that the store has acknowledged, in the era in
// which claims were made before, counts: one without an answer may have come after that of another
// process, and an older copy of the store may have lost another's.
func (c *Claims) claim(ctx context.Context, e Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	era := c.Store.Eras().Current()
	o, err := c.Store.Put(ctx, keyPrefix+e.ID, []byte(c.Holder), 0)
	if err == nil && objectapi.Revision(o.Version).Era() != era {
		err = errors.Annotate(objectapi.ErrOutcomeUnknown, "store came back from an older copy")
	}
	made := &claim{incarnation: e.Incarnation, until: e.Until, perSecond: e.PerSecond, uncertain: errors.Is(err, objectapi.ErrOutcomeUnknown)}
	c.held[e.ID] = made
	if err != nil {
		c.Log.Info("cold endpoint not claimed", zap.String("endpoint", e.ID), zap.Error(err))
		return
	}
	made.version = o.Version
	c.Directory.AllowCold(e.ID, e.Incarnation, NewWindow(e.PerSecond))
	c.Log.Info("cold endpoint claimed", zap.String("endpoint", e.ID), zap.Float64("per_second", e.PerSecond), zap.Duration("cold_for", time.Until(e.Until)))
}

// reclaim creates the records again that a store which came back from an older copy has lost. Until that
// is done, another process may have created one: this one sends nothing meanwhile.
func (c *Claims) reclaim(ctx context.Context) {
	era := c.Store.Eras().Current()
	for id, held := range c.held {
		if held.version == 0 || objectapi.Revision(held.version).Era() >= era {
			continue
		}
		c.Directory.AllowCold(id, held.incarnation, nil)
		o, err := c.restore(ctx, id)
		if err != nil {
			c.Log.Info("claim of an endpoint not restored", zap.String("endpoint", id), zap.Error(err))
			// The copy may hold this process's record.
			held.version, held.uncertain = 0, !errors.Is(err, objectapi.ErrConflict)
			continue
		}
		held.version = o.Version
		c.Directory.AllowCold(id, held.incarnation, NewWindow(held.perSecond))
		c.Log.Info("claim of an endpoint restored", zap.String("endpoint", id), zap.Uint64("era", era))
	}
}

// restore creates a record again, or returns the one that the older copy holds if it is this process's.
func (c *Claims) restore(ctx context.Context, id string) (objectapi.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	o, err := c.Store.Put(ctx, keyPrefix+id, []byte(c.Holder), 0)
	if !errors.Is(err, objectapi.ErrConflict) {
		return o, err
	}
	if o, err = c.Store.Get(ctx, keyPrefix+id); err == nil && string(o.Value) != c.Holder {
		err = objectapi.ErrConflict
	}
	return o, err
}

// releaseWarm deletes the records of endpoints that are warm.
func (c *Claims) releaseWarm(ctx context.Context, now time.Time) {
	for id, held := range c.held {
		if now.Before(held.until) {
			continue
		}
		if err := c.release(ctx, id, held); err != nil {
			c.Log.Info("claim of an endpoint not released", zap.String("endpoint", id), zap.Error(err))
			held.until = now.Add(interval)
			continue
		}
		delete(c.held, id)
	}
}

// release deletes a record. The right to send ends first: the endpoint may become cold again, and
// another process may then claim it.
func (c *Claims) release(ctx context.Context, id string, held *claim) error {
	c.Directory.AllowCold(id, held.incarnation, nil)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	version := held.version
	if held.uncertain {
		o, err := c.Store.Get(ctx, keyPrefix+id)
		if errors.Is(err, objectapi.ErrNotFound) || (err == nil && string(o.Value) != c.Holder) {
			return nil
		}
		if err != nil {
			return err
		}
		version = o.Version
	}
	if version == 0 {
		return nil
	}
	err := c.Store.Delete(ctx, keyPrefix+id, version)
	if errors.Is(err, objectapi.ErrNotFound) || errors.Is(err, objectapi.ErrConflict) {
		return nil
	}
	return err
}

// sweep deletes the records that this and the last sweep found without an endpoint: their process
// has ended.
func (c *Claims) sweep(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	list, err := c.Store.List(ctx, keyPrefix)
	if err != nil {
		c.Log.Info("claims of cold endpoints not listed", zap.Error(err))
		return
	}
	orphans := map[string]bool{}
	for _, o := range list {
		id := strings.TrimPrefix(o.Key, keyPrefix)
		if c.Exists(id) {
			continue
		}
		orphans[id] = true
		if c.orphans[id] {
			err := c.Store.Delete(ctx, o.Key, o.Version)
			c.Log.Info("claim without an endpoint deleted", zap.String("endpoint", id), zap.Error(err))
		}
	}
	c.orphans = orphans
}
