package gateway

import "sync"

const (
	// meanWeight is the weight of one request in the moving mean of its route: about the last
	// hundred requests determine the mean.
	meanWeight = 1.0 / 64
	// maxRoutes bounds the routes remembered. At the bound all are discarded, so that removed
	// routes don't stay; the others are known again after their next request.
	maxRoutes = 4096
)

// requestSizes keeps, for each route, the exponentially weighted moving mean of the tokens that a request holds: its prompt
// and the bound of its output. It is safe for concurrent use.
type requestSizes struct {
	mu    sync.Mutex
	means map[string]float64
}

// observe adds a request to its route's mean and returns the new mean.
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
