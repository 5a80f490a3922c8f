package agent

import (
	"context"
	"encoding/binary"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"limpetwall/internal/protocol/wire"
)

// crashTimeout bounds the look at an endpoint on the same host.
const crashTimeout = 300 * time.Millisecond

// crashes distinguishes the crashes of an endpoint, whose starts have no identifiers.
type crashes struct {
	mu sync.Mutex
	// last is when the last was found, number counts them.
	last   time.Time
	number uint64
}

// crashOf names the crash that ended a run begun at some time; 0 if none did.
func (a *Agent) crashOf(begun time.Time) uint64 {
	if a.HasEnded == nil || a.leaving() {
		return 0
	}
	c := &a.crashes
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.number == 0 || begun.After(c.last) {
		ctx, cancel := context.WithTimeout(context.Background(), crashTimeout)
		defer cancel()
		if !a.HasEnded(ctx) {
			return 0
		}
		c.last, c.number = time.Now(), c.number+1
		a.zap.Warn("endpoint crashed", zap.Uint64("crash", c.number), zap.Int64("running", a.running.Load()), zap.Int64("waiting", a.waiting.Load()))
	}
	name := binary.BigEndian.AppendUint64(nil, a.ledger.Incarnation())
	return xxhash.Sum64(binary.BigEndian.AppendUint64(name, c.number))
}

// recordCrash notes in a refusal whether the endpoint crashed under the run.
func (a *Agent) recordCrash(r *wire.Refused, begun time.Time) {
	if r.GetCode() == CodeBroken {
		r.Crashed = a.crashOf(begun)
	}
}
