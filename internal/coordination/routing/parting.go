package routing

import (
	"cmp"
	"slices"
	"time"
)

// An engine reads prompts between the steps of the streams that it writes, and an event of a stream
// takes several steps. Where long prompts are read, events come slowly; if the host is also slow for a
// moment, a pause passes the limit of the stream. So some endpoints are preferred by requests that
// mostly read and the others by those that mostly write. Both are preferences: no request is refused
// for them.

const (
	// mixSamples is how many requests determine a mix. A process that sends ten a second follows a
	// change within a minute.
	mixSamples = 500
	// minMixSamples is from how many requests on a mix is used; with fewer, chance decides it.
	minMixSamples = 50
	// minPart is the least share of the endpoints of either part, so that neither is starved.
	minPart = 0.35
	// readingPenalty and writingPenalty are what an endpoint of the other part costs, in multiples of the
	// limit of a pause. A prompt makes several streams late, a stream at most itself.
	readingPenalty = 0.5
	writingPenalty = 0.25
	// partCandidates is the number of candidates of the request's own part.
	partCandidates = 3
)

// mix is what the requests of one service read and write, as moving means.
type mix struct {
	samples int
	// prompt and output are the tokens of a request's prompt and answer.
	prompt, output float64
	// read is the prompt tokens that engines had to read for a request, readByReaders those for
	// requests that mostly read.
	read, readByReaders float64
	// limit is the newest limit of the pauses of a stream.
	limit time.Duration
}

// Parting divides the endpoints of a service between requests that mostly read and those that mostly
// write.
type Parting struct {
	// Readers is the share of the endpoints that read, 0 if they are not divided.
	Readers float64
	// Ratio is the number of prompt tokens for each token of the answer from which a request mostly reads.
	Ratio float64
	// Limit is the limit of the pauses.
	Limit time.Duration
}

// recordMix records a request that was sent and the prompt tokens that have to be read for it.
func (d *Directory) recordMix(service string, r *Request, tokens int) {
	if r.PromptTokens == 0 || r.OutputTokens == 0 {
		return
	}
	m := d.mixes[service]
	if m == nil {
		if r.MaxPause == 0 {
			return
		}
		m = &mix{}
		d.mixes[service] = m
	}
	m.observe(r, tokens)
}

func (m *mix) observe(r *Request, tokens int) {
	m.samples = min(m.samples+1, mixSamples)
	weight := 1 / float64(m.samples)
	update := func(mean *float64, value int) { *mean += weight * (float64(value) - *mean) }
	update(&m.prompt, r.PromptTokens)
	update(&m.output, r.OutputTokens)
	update(&m.read, tokens)
	if r.MaxPause > 0 {
		m.limit = r.MaxPause
	}
	byReader := 0
	if r.mostlyReads(m.prompt / m.output) {
		byReader = tokens
	}
	update(&m.readByReaders, byReader)
}

// parting returns how the endpoints are divided.
func (m *mix) parting() Parting {
	if m == nil || m.samples < minMixSamples || m.readByReaders == 0 {
		return Parting{}
	}
	return Parting{Readers: min(1-minPart, max(minPart, m.readByReaders/m.read)), Ratio: m.prompt / m.output, Limit: m.limit}
}

func (r *Request) mostlyReads(ratio float64) bool {
	return float64(r.PromptTokens) > ratio*float64(r.OutputTokens)
}

// isReader reports whether an endpoint is preferred by requests that mostly read.
func (p Parting) isReader(e *Endpoint) bool { return e.Rank < p.Readers }

// partingCost returns what it costs, in seconds of waiting, that an endpoint is of the other part.
func (r *Request) partingCost(e *Endpoint) float64 {
	p := r.Parting
	if p.Readers == 0 {
		return 0
	}
	reads := r.mostlyReads(p.Ratio)
	switch {
	case p.isReader(e) == reads:
		return 0
	case reads:
		return readingPenalty * p.Limit.Seconds()
	}
	return writingPenalty * p.Limit.Seconds()
}

// addOfPart adds endpoints of the request's part, starting at a random one: the smaller part would
// often be missing in a sample.
func (c *candidateSet) addOfPart(endpoints []Endpoint, r *Request, random Random) {
	if r.Parting.Readers == 0 || len(endpoints) == 0 {
		return
	}
	reads, left := r.mostlyReads(r.Parting.Ratio), partCandidates
	start := int(random.Uint64() % uint64(len(endpoints)))
	for i := range endpoints {
		e := &endpoints[(start+i)%len(endpoints)]
		if r.Parting.isReader(e) != reads {
			continue
		}
		c.add(e, ReasonPart, r)
		if left--; left == 0 {
			return
		}
	}
}

// rankByDomain ranks the endpoints of each failure domain in the order of a hash of their own. An
// endpoint that comes or goes moves the others by one place.
func rankByDomain(list []Endpoint) {
	order := make([]int, len(list))
	counts, seen := map[string]int{}, map[string]int{}
	for i := range list {
		order[i] = i
		counts[list[i].Domain]++
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(splitMix64(list[a].Hash), splitMix64(list[b].Hash)) })
	for _, i := range order {
		domain := list[i].Domain
		list[i].Rank = float64(seen[domain]) / float64(counts[domain])
		seen[domain]++
	}
}
