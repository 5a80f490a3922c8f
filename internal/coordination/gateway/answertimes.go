package gateway

import (
	"sync"
	"time"
)

// answerTimeDeviations is how many mean deviations above the mean nearly all answers of a route end.
const answerTimeDeviations = 3

// answerTimes keeps, for each route, the moving mean and mean deviation of the time that its whole answers take. It is safe
// for concurrent use.
type answerTimes struct {
	mu      sync.Mutex
	byRoute map[string]answerTime
}

type answerTime struct{ mean, deviation time.Duration }

// observe adds the time of a whole answer to its route's.
func (a *answerTimes) observe(route string, took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.byRoute == nil || len(a.byRoute) >= maxRoutes {
		a.byRoute = map[string]answerTime{}
	}
	t, known := a.byRoute[route]
	if !known {
		t = answerTime{took, took / 2}
	}
	t.deviation += time.Duration(meanWeight * float64((took-t.mean).Abs()-t.deviation))
	t.mean += time.Duration(meanWeight * float64(took-t.mean))
	a.byRoute[route] = t
}

// most returns the time in which nearly all answers of a route end, 0 if none is known.
func (a *answerTimes) most(route string) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.byRoute[route]
	return t.mean + answerTimeDeviations*t.deviation
}
