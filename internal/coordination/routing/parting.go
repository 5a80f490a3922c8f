package routing

import (
	"cmp"
	"slices"
	"time"
)

// reading is the work of reading prompts that this process sent to the endpoints of a service.
type reading struct {
	// long and all are moving means of the tokens read for a request, long of those whose prompt is long.
	long, all float64
	samples   int
	// limit is the shortest limit of the pauses of its streams so far.
	limit time.Duration
}

const (
	maxReadingSamples = 500
	minReadingSamples = 50
	// longShare is the part of a stream's pause limit that reading a long prompt takes. Hosts that are
	// shared take up to some three times as long as usual.
	longShare = 0.25
	// partingPenalty is the part of a stream's pause limit that an endpoint of the other part costs.
	partingPenalty = 0.25
	// minReaderShare and its complement bound the share: no part is empty.
	minReaderShare = 0.2
)

func (d *Directory) recordReading(service string, r *Request, tokens int) {
	if r.EventTokens == 0 || r.PromptTokens == 0 {
		return
	}
	w := d.readings[service]
	if w == nil {
		w = &reading{}
		d.readings[service] = w
	}
	if r.MaxPause > 0 {
		w.limit = r.MaxPause
	}
	w.samples = min(w.samples+1, maxReadingSamples)
	weight := 1 / float64(w.samples)
	long := 0.0
	if r.isLong(w.limit) {
		long = float64(tokens)
	}
	w.long += weight * (long - w.long)
	w.all += weight * (float64(tokens) - w.all)
}

func (d *Directory) readerShare(service string) float64 {
	w := d.readings[service]
	if w == nil || w.samples < minReadingSamples || w.limit == 0 || w.long == 0 {
		return 0
	}
	return min(1-minReaderShare, max(minReaderShare, w.long/w.all))
}

// isLong reports whether reading the prompt takes long enough to make other streams late.
func (r *Request) isLong(limit time.Duration) bool {
	return limit > 0 && float64(r.PromptTokens)/55000 > longShare*limit.Seconds()
}

func (r *Request) partingCost(e *Endpoint) float64 {
	if r.ReaderShare == 0 || r.MaxPause == 0 {
		return 0
	}
	if isReader := e.Rank < r.ReaderShare; isReader == r.isLong(r.MaxPause) {
		return 0
	}
	return partingPenalty * r.MaxPause.Seconds()
}

// rankByDomain ranks the endpoints of each failure domain by a hash of their own.
func rankByDomain(list []Endpoint) {
	order := make([]int, len(list))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(splitMix64(list[a].Hash), splitMix64(list[b].Hash)) })
	counts, seen := map[string]int{}, map[string]int{}
	for i := range list {
		counts[list[i].Domain]++
	}
	for _, i := range order {
		domain := list[i].Domain
		list[i].Rank = float64(seen[domain]) / float64(counts[domain])
		seen[domain]++
	}
}
