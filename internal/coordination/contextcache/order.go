package contextcache

// orderWindow is the number of segments whose latest changes are kept in one generation. A busy
// engine changes 50 segments a second, so these are some seconds: longer than a report is on its way.
const orderWindow = 256

// changeOrder decides which changes of a store or engine are new. Changes reach a process in any
// order, twice or not at all: in its own calls and in the datagrams of several reporters.
type changeOrder struct {
	// floor is the number below which reported additions are ignored: a list covers them, or the
	// later changes of their segments are forgotten.
	floor int64
	// latest and previous hold the number of each segment's latest change. When latest has
	// orderWindow entries it becomes previous, and the changes of previous are forgotten.
	latest, previous map[SegmentKey]int64
	// highest and previousHighest are the highest numbers in latest and previous.
	highest, previousHighest int64
}

// accept reports whether a change is to be applied, and records it if so.
func (o *changeOrder) accept(c Change) bool {
	if o.latestNumber(c.Segment) > c.Number {
		return false
	}
	if len(o.latest) >= orderWindow {
		// Without the forgotten numbers, a removal could be undone by an earlier addition.
		o.floor = max(o.floor, o.previousHighest+1)
		o.previous, o.previousHighest, o.latest = o.latest, o.highest, nil
	}
	if o.latest == nil {
		o.latest = map[SegmentKey]int64{}
	}
	o.latest[c.Segment] = c.Number
	o.highest = max(o.highest, c.Number)
	return true
}

// latestNumber returns the number of the latest known change of a segment, -1 if none is known.
func (o *changeOrder) latestNumber(key SegmentKey) int64 {
	if number, ok := o.latest[key]; ok {
		return number
	}
	if number, ok := o.previous[key]; ok {
		return number
	}
	return -1
}
