package memquota

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

// Errors of Account.Grow and Account.Seal. After either, the account's request must be refused.
const (
	// ErrExhausted is returned if the memory, or the part of it that one customer may use, is in use and no larger request can be
	// revoked.
	ErrExhausted = errors.ConstError("the memory for callers' requests is in use")
	// ErrRevoked is returned if the request was revoked in favor of a smaller one.
	ErrRevoked = errors.ConstError("the request was the largest when memory ran out")
)

const (
	// smallRequest is the part of each request, in bytes, that may use the whole quota. What is larger may use largeNumerator
	// of largeDenominator parts, so that small requests find memory beside complete large ones.
	smallRequest                     = 64 << 10
	largeNumerator, largeDenominator = 3, 4
	// groupPart: the accounts of one group may hold one in so many parts of the quota, so that others find memory beside them.
	groupPart = 2
	// releaseTimeout bounds the wait for revoked requests to free their memory.
	releaseTimeout = time.Second
	// blockedGrace is how long a complete request's caller may leave its answer unread before the request can be revoked.
	blockedGrace = time.Second
)

// Quota is safe for concurrent use.
type Quota struct {
	mu sync.Mutex
	// limit and groupLimit bound what all accounts and those of one group hold. base and ceiling bound limit.
	limit         total
	groupLimit    int64
	base, ceiling int64
	used          total
	// releasing is the part of used that belongs to revoked accounts.
	releasing total
	accounts  []*Account
	groups    map[string]*group
	// freed is closed when memory is freed.
	freed chan struct{}
	// buffers is nil if there is no limit of them.
	buffers *buffers
}

// total is a number of bytes, and how many of them are beyond the smallRequest of their accounts.
type total struct{ all, large int64 }

func (t *total) add(size, sign int64) {
	t.all += sign * size
	t.large += sign * max(0, size-smallRequest)
}

// group is what the accounts of one customer hold, releasing the part of it that belongs to revoked accounts.
type group struct {
	accounts        int
	used, releasing int64
}

// New returns a quota of limit bytes, which Require may raise to ceiling.
func New(limit, ceiling int64) *Quota {
	q := &Quota{base: limit, ceiling: max(limit, ceiling), groups: map[string]*group{}, freed: make(chan struct{})}
	q.Require(0)
	return q
}

// Require raises the limit so far that a single request may take largest bytes while no other needs any.
func (q *Quota) Require(largest int64) {
	if q == nil {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	all := min(max(q.base, LimitFor(largest)), q.ceiling)
	q.limit = total{all, all / largeDenominator * largeNumerator}
	q.groupLimit = max(all/groupPart, largest+headRoom)
}

// Held returns how many bytes are held.
func (q *Quota) Held() int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.used.all
}

// Account holds the memory of one request. The methods of a nil account do nothing.
//
// Invariant: an account that is revoked keeps its bytes until its owner has freed them.
type Account struct {
	quota  *Quota
	revoke func()
	// group is nil until the request's customer is known.
	group    *group
	customer string
	// size, index, sealed, revoked and group are guarded by quota.mu. index is the place in quota.accounts.
	size            int64
	index           int
	sealed, revoked bool
	// blockedSince is since when a write to the caller has been blocked, in Unix nanoseconds; 0 if none is.
	blockedSince atomic.Int64
}

// Open returns an account for a new request. If the account is revoked, revoke is called once; it must interrupt the reads
// from the caller, and must not wait for the account's owner.
func (q *Quota) Open(revoke func()) *Account {
	if q == nil {
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	a := &Account{quota: q, revoke: revoke, index: len(q.accounts)}
	q.accounts = append(q.accounts, a)
	return a
}

// Grow adds n bytes to the account. It may wait until revoked requests have freed their memory.
func (a *Account) Grow(n int64) error {
	if a == nil || n <= 0 {
		return nil
	}
	q := a.quota
	var timeout <-chan time.Time
	for {
		q.mu.Lock()
		if a.revoked {
			q.mu.Unlock()
			return ErrRevoked
		}
		if ok, _ := q.fits(a, n, false); ok {
			a.resize(a.size + n)
			q.mu.Unlock()
			return nil
		}
		victims, ok := q.chooseVictims(a, n)
		freed := q.freed
		q.mu.Unlock()
		for _, v := range victims {
			v.revoke()
		}
		if !ok {
			return ErrExhausted
		}
		if timeout == nil {
			timer := time.NewTimer(releaseTimeout)
			defer timer.Stop()
			timeout = timer.C
		}
		select {
		case <-freed:
		case <-timeout:
			return ErrExhausted
		}
	}
}

// fits reports whether an account may grow by n bytes once the bytes of revoked accounts are free, if they are to be counted as
// such. If not, within is the group in which memory is short, nil if it is short for all.
func (q *Quota) fits(a *Account, n int64, countReleasing bool) (ok bool, within *group) {
	next := q.used
	next.add(a.size, -1)
	next.add(a.size+n, 1)
	var free total
	var freeInGroup int64
	if countReleasing {
		free = q.releasing
		if a.group != nil {
			freeInGroup = a.group.releasing
		}
	}
	if a.group != nil && a.group.used+n-freeInGroup > q.groupLimit {
		return false, a.group
	}
	if next.all-free.all > q.limit.all {
		return false, nil
	}
	return next.large == q.used.large || next.large-free.large <= q.limit.large, nil
}

// chooseVictims marks accounts as revoked until a may grow by n bytes. It returns them, and whether a may wait for them.
func (q *Quota) chooseVictims(a *Account, n int64) (victims []*Account, ok bool) {
	for {
		ok, within := q.fits(a, n, true)
		if ok {
			return victims, true
		}
		largest := q.largest(within)
		if largest == nil || largest == a || largest.size < a.size+n {
			return victims, false
		}
		largest.markRevoked()
		victims = append(victims, largest)
	}
}

// largest returns the largest account that can be revoked, of a group if that is not nil; nil if there is none.
func (q *Quota) largest(within *group) (found *Account) {
	now := time.Now().UnixNano()
	for _, a := range q.accounts {
		if (within == nil || a.group == within) && a.size > 0 && a.isRevocable(now) && (found == nil || a.size > found.size) {
			found = a
		}
	}
	return found
}

// isRevocable reports whether the request is incomplete, or its caller does not read.
func (a *Account) isRevocable(now int64) bool {
	if a.revoked {
		return false
	}
	return !a.sealed || a.isBlocked(now)
}

// isBlocked reports whether the request's caller has not read for some time.
func (a *Account) isBlocked(now int64) bool {
	blocked := a.blockedSince.Load()
	return blocked > 0 && now-blocked > int64(blockedGrace)
}

func (a *Account) markRevoked() {
	a.revoked = true
	a.quota.releasing.add(a.size, 1)
	if a.group != nil {
		a.group.releasing += a.size
	}
}

// Join makes the account one of a customer's, whose accounts together have a bound.
func (a *Account) Join(customer string) {
	if a == nil || customer == "" {
		return
	}
	q := a.quota
	q.mu.Lock()
	defer q.mu.Unlock()
	if a.index < 0 || a.group != nil {
		return
	}
	if a.group = q.groups[customer]; a.group == nil {
		a.group = &group{}
		q.groups[customer] = a.group
	}
	a.customer = customer
	a.group.accounts++
	a.group.used += a.size
	if a.revoked {
		a.group.releasing += a.size
	}
}

// leave takes the account out of its group; quota.mu is held.
func (a *Account) leave() {
	if a.group == nil {
		return
	}
	if a.group.accounts--; a.group.accounts == 0 {
		delete(a.quota.groups, a.customer)
	}
	a.group = nil
}

// Revoke revokes the account unless its request is complete and its caller reads, and reports whether it is revoked. It does
// not call the function given to Open.
func (a *Account) Revoke() bool {
	if a == nil {
		return true
	}
	a.quota.mu.Lock()
	defer a.quota.mu.Unlock()
	if a.isRevocable(time.Now().UnixNano()) {
		a.markRevoked()
	}
	return a.revoked
}

// IsRevoked reports whether the account was revoked.
func (a *Account) IsRevoked() bool {
	if a == nil {
		return false
	}
	a.quota.mu.Lock()
	defer a.quota.mu.Unlock()
	return a.revoked
}

// Shrink takes n bytes off the account.
func (a *Account) Shrink(n int64) {
	if a == nil || n <= 0 {
		return
	}
	a.quota.mu.Lock()
	defer a.quota.mu.Unlock()
	a.resize(max(0, a.size-n))
}

// Seal marks the account's request as complete: from now on it can be revoked only while its caller does not read.
func (a *Account) Seal() error {
	if a == nil {
		return nil
	}
	a.quota.mu.Lock()
	defer a.quota.mu.Unlock()
	if a.revoked {
		return ErrRevoked
	}
	a.sealed = true
	return nil
}

// Finish keeps the first n bytes of the account, whose request is answered. The account can be revoked again.
func (a *Account) Finish(n int64) {
	if a == nil {
		return
	}
	a.quota.mu.Lock()
	defer a.quota.mu.Unlock()
	a.resize(min(a.size, n))
	a.sealed = false
}

// BeginWrite and EndWrite enclose a write to the caller, which may block.
func (a *Account) BeginWrite() {
	if a != nil {
		a.blockedSince.Store(time.Now().UnixNano())
	}
}

// EndWrite is described at BeginWrite.
func (a *Account) EndWrite() {
	if a != nil {
		a.blockedSince.Store(0)
	}
}

// Close frees what the account holds. Later calls do nothing.
func (a *Account) Close() {
	if a == nil {
		return
	}
	q := a.quota
	q.mu.Lock()
	defer q.mu.Unlock()
	if a.index < 0 {
		return
	}
	a.resize(0)
	a.leave()
	last := len(q.accounts) - 1
	q.accounts[a.index] = q.accounts[last]
	q.accounts[a.index].index = a.index
	q.accounts[last] = nil
	q.accounts, a.index, a.revoked = q.accounts[:last], -1, true
}

// resize changes the size of an account; quota.mu is held.
func (a *Account) resize(size int64) {
	q := a.quota
	q.used.add(a.size, -1)
	q.used.add(size, 1)
	if a.revoked {
		q.releasing.add(a.size, -1)
		q.releasing.add(size, 1)
	}
	if a.group != nil {
		a.group.used += size - a.size
		if a.revoked {
			a.group.releasing += size - a.size
		}
	}
	isFreed := size < a.size
	a.size = size
	if isFreed {
		close(q.freed)
		q.freed = make(chan struct{})
	}
}

// headRoom is what a request takes besides its body, in bytes.
const headRoom = 1 << 20

// LimitFor returns the limit of a quota in which one request may take a number of bytes while no other needs any.
func LimitFor(largest int64) int64 { return (largest + headRoom) / largeNumerator * largeDenominator }
