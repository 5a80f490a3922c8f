package memquota

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"
)

// BufferSize is the size of a buffer of TakeBuffer, in bytes.
const BufferSize = 264 << 10

// reclaimInterval is how often callers that do not read are looked for while requests wait for buffers.
const reclaimInterval = 100 * time.Millisecond

// buffers is a fixed number of buffers of BufferSize.
//
// Invariant: an account holds one buffer at most, and none while it waits for one, so that waits end.
type buffers struct {
	// slots counts the buffers that may be taken.
	slots *semaphore.Weighted

	mu sync.Mutex
	// free are those that were used before. holders have one each.
	free    [][]byte
	holders map[*Account]struct{}
	// waiting is how many accounts wait. isReclaiming is set while reclaim runs.
	waiting      int
	isReclaiming bool
}

// AllowBuffers sets how many buffers the quota has beside its limit. It is called before the quota is used; without it, TakeBuffer
// allocates without a limit.
func (q *Quota) AllowBuffers(count int) {
	if q != nil {
		q.buffers = &buffers{slots: semaphore.NewWeighted(int64(count)), holders: map[*Account]struct{}{}}
	}
}

// TryTakeBuffer returns a buffer for a part of an answer that is about to be passed on, nil if none is free. ReturnBuffer must be
// called with it.
func (a *Account) TryTakeBuffer() []byte {
	if a == nil || a.quota.buffers == nil {
		return make([]byte, BufferSize)
	}
	p := a.quota.buffers
	if !p.slots.TryAcquire(1) {
		return nil
	}
	return p.hand(a)
}

// TakeBuffer is TryTakeBuffer that waits for a buffer. Meanwhile, holders are revoked whose callers have not read for some time. Its
// error is the cause of the end of ctx, or ErrRevoked.
func (a *Account) TakeBuffer(ctx context.Context) ([]byte, error) {
	if buf := a.TryTakeBuffer(); buf != nil {
		return buf, nil
	}
	p := a.quota.buffers
	p.mu.Lock()
	p.waiting++
	if !p.isReclaiming {
		p.isReclaiming = true
		go p.reclaim()
	}
	p.mu.Unlock()
	err := p.slots.Acquire(ctx, 1)
	p.mu.Lock()
	p.waiting--
	p.mu.Unlock()
	if err != nil {
		return nil, context.Cause(ctx)
	}
	if a.IsRevoked() {
		p.slots.Release(1)
		return nil, ErrRevoked
	}
	return p.hand(a), nil
}

// hand gives an account a buffer for which it has a slot.
func (p *buffers) hand(a *Account) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holders[a] = struct{}{}
	if last := len(p.free) - 1; last >= 0 {
		buf := p.free[last]
		p.free = p.free[:last]
		return buf
	}
	return make([]byte, BufferSize)
}

// ReturnBuffer ends the use of a buffer, also after Close.
func (a *Account) ReturnBuffer(buf []byte) {
	if a == nil || a.quota.buffers == nil {
		return
	}
	p := a.quota.buffers
	p.mu.Lock()
	delete(p.holders, a)
	p.free = append(p.free, buf)
	p.mu.Unlock()
	p.slots.Release(1)
}

// reclaim revokes holders whose callers do not read, as many as there are waiting accounts, until none waits.
func (p *buffers) reclaim() {
	ticker := time.NewTicker(reclaimInterval)
	defer ticker.Stop()
	for range ticker.C {
		p.mu.Lock()
		if p.waiting == 0 {
			p.isReclaiming = false
			p.mu.Unlock()
			return
		}
		needed := p.waiting
		var holders []*Account
		for a := range p.holders {
			holders = append(holders, a)
		}
		p.mu.Unlock()
		now := time.Now().UnixNano()
		for _, a := range holders {
			if needed > 0 && a.revokeBlocked(now) {
				needed--
			}
		}
	}
}

// revokeBlocked revokes the account if its caller does not read, and reports whether it is revoked.
func (a *Account) revokeBlocked(now int64) bool {
	q := a.quota
	q.mu.Lock()
	if a.revoked {
		q.mu.Unlock()
		return true
	}
	blocked := a.isBlocked(now)
	if blocked {
		a.markRevoked()
	}
	q.mu.Unlock()
	if blocked {
		a.revoke()
	}
	return blocked
}
