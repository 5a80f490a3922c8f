package agent

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc/peer"

	"limpetwall/internal/coordination/pushback"
)

// recentSenders counts the entries that have sent runs within pushback.Window. The zero value has none.
type recentSenders struct {
	mu sync.Mutex
	// lastAt is when each last sent a run, by the address of its connection.
	lastAt map[string]time.Time
}

// record counts the entry that made a call.
func (s *recentSenders) record(ctx context.Context, now time.Time) {
	p, ok := peer.FromContext(ctx)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastAt == nil {
		s.lastAt = map[string]time.Time{}
	}
	s.lastAt[p.Addr.String()] = now
}

func (s *recentSenders) count(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for from, at := range s.lastAt {
		if now.Sub(at) >= pushback.Window {
			delete(s.lastAt, from)
		}
	}
	return len(s.lastAt)
}
