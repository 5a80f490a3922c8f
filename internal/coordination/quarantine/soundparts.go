package quarantine

import (
	"time"

	"limpetwall/internal/state/fingerprint"
)

const (
	// soundPartsPerGeneration bounds the memory for parts that ran well to about 1 MB.
	soundPartsPerGeneration = 8192
	// soundPartsLifetime is the least time for which a part that ran well is remembered, unless there are more.
	soundPartsLifetime = 10 * time.Minute
)

// soundParts remembers the parts with which answers ran well in this process, and when the newest of each began. It
// keeps two generations, and drops the older one when the newer is full or old.
type soundParts struct {
	newer, older map[fingerprint.Key]time.Time
	startedAt    time.Time
	// newest is when the newest of all answers that ran well here began.
	newest time.Time
}

func (s *soundParts) add(key fingerprint.Key, began, now time.Time) {
	if began.IsZero() {
		return
	}
	if s.newer == nil || len(s.newer) >= soundPartsPerGeneration || now.Sub(s.startedAt) >= soundPartsLifetime {
		s.newer, s.older, s.startedAt = map[fingerprint.Key]time.Time{}, s.newer, now
	}
	if began.After(s.newer[key]) {
		s.newer[key] = began
	}
}

// last returns when the newest answer with a part that ran well began; zero if none is remembered.
func (s *soundParts) last(key fingerprint.Key) time.Time {
	if began, found := s.newer[key]; found {
		return began
	}
	return s.older[key]
}

func (s *soundParts) has(key fingerprint.Key) bool { return !s.last(key).IsZero() }
