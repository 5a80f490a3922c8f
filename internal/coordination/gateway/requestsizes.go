package gateway

import "sync"

const (
	// meanWeight of one prompt in its route's mean: some hundred make it.
	meanWeight = 1.0 / 64
	// maxRoutes bounds the routes remembered; names of routes that are gone are dropped
	// with all others, which are known again after their next prompt.
	maxRoutes = 4096
)

// requestSizes keeps the mean size of each route's prompts, in tokens. Safe for concurrent use.
type requestSizes struct {
	mu    sync.Mutex
	means map[string]float64
}

// observe counts a prompt and returns its route's mean.
func (s *requestSizes) observe(route string, tokens int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.means == nil || len(s.means) >= maxRoutes {
		s.means = map[string]float64{}
	}
	mean, known := s.means[route]
	if !known {
		mean = float64(tokens)
	}
	mean += meanWeight * (float64(tokens) - mean)
	s.means[route] = mean
	return int(mean)
}
