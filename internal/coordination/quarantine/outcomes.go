package quarantine

import (
	"math"
	"time"
)

// outcomesHalfLife is the time in which an outcome loses half of its weight: about as long as endpoints that crash one
// after the other take to start again.
const outcomesHalfLife = 2 * time.Second

// outcomes counts how many answers lately ran well, and how many requests were lost in crashes, in this process. Newer
// ones weigh more.
type outcomes struct {
	ranWell, crashed float64
	updatedAt        time.Time
}

func (o *outcomes) add(ranWell, crashed float64, now time.Time) {
	o.decay(now)
	o.ranWell += ranWell
	o.crashed += crashed
}

func (o *outcomes) decay(now time.Time) {
	if passed := now.Sub(o.updatedAt); passed > 0 {
		left := math.Exp2(-passed.Seconds() / outcomesHalfLife.Seconds())
		o.ranWell, o.crashed, o.updatedAt = o.ranWell*left, o.crashed*left, now
	}
}

// chanceOfCrashes returns the chance that a number of requests in a row are lost in crashes that they did not cause.
func (o *outcomes) chanceOfCrashes(n int, now time.Time) float64 {
	o.decay(now)
	return math.Pow((o.crashed+1)/(o.ranWell+o.crashed+1), float64(n))
}
