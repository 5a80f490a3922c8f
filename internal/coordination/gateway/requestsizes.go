package gateway

import "sync"

const (
	// sizeWeight of one prompt in its route's mean: some hundred make it.
	sizeWeight = 1.0 / 64
	// routesKept bounds the routes remembered; names of routes that are gone are dropped
	// with all others, which are known again after their next prompt.
	routesKept = 4096
)

// sizes keeps the mean size of each route's prompts, in tokens. Safe for concurrent use.
type sizes struct {
	mu   sync.Mutex
	mean map[string]float64
}

// take counts a prompt and returns its route's mean.
func (s *sizes) take(route string, tokens int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mean == nil || len(s.mean) >= routesKept {
		s.mean = map[string]float64{}
	}
	mean, known := s.mean[route]
	if !known {
		mean = float64(tokens)
	}
	mean += sizeWeight * (float64(tokens) - mean)
	s.mean[route] = mean
	return int(mean)
}
