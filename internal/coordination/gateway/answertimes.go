package gateway

import (
	"sync"
	"time"
)

const (
	// answerTimeDeviations is how many mean deviations above the mean nearly all answers of a route end.
	answerTimeDeviations = 3
	// minAnswers is how many answers must have been seen before a route's times say anything.
	minAnswers = 8
)

// answerTimes keeps, for each route, the moving mean and mean deviation of the time that its whole answers take. It is safe
// for concurrent use.
type answerTimes struct {
	mu      sync.Mutex
	byRoute map[string]answerTime
}

type answerTime struct {
	mean, deviation time.Duration
	answers         int
}

// observe adds the time of a whole answer to its route's.
func (a *answerTimes) observe(route string, took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.byRoute == nil || len(a.byRoute) >= maxRoutes {
		a.byRoute = map[string]answerTime{}
	}
	t := a.byRoute[route]
	t.answers++
	// The first answers weigh alike.
	weight := max(meanWeight, 1/float64(t.answers))
	t.mean += time.Duration(weight * float64(took-t.mean))
	t.deviation += time.Duration(weight * float64((took-t.mean).Abs()-t.deviation))
	a.byRoute[route] = t
}

// most returns the time in which nearly all answers of a route end, 0 if none is known.
func (a *answerTimes) most(route string) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.byRoute[route]
	if t.answers < minAnswers {
		return 0
	}
	return t.mean + answerTimeDeviations*t.deviation
}
