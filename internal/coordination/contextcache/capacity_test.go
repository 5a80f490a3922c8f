package contextcache

import (
	"fmt"
	"limpetwall/internal/state/residency"
	"testing"
	"time"

	"go.uber.org/zap"

	"limpetwall/internal/state/routes"
)

// TestManyProcessesSaveWithinCapacity has 100 processes save 200 contexts of 9,000 tokens a second
// in four small stores with fast links and four large ones with slow links.
//
// A process learns of the others' saves only half a second later. If all processes filled the fast
// stores first, they would continue for that long after these are full: the saves would be lost
// and the contexts prefilled again. All saves must fit, and no store may stay empty while another
// fills.
func TestManyProcessesSaveWithinCapacity(t *testing.T) {
	const (
		processes, perSecond, tokens = 100, 200, 9000
		length                       = 20 * time.Second
		eventDelay                   = 500 * time.Millisecond
		tokenBytes                   = 18_432
		// idleEventInterval is the number of saves after which a store without changes answers.
		idleEventInterval = 20
	)
	c := &fakeClock{epoch}
	services := map[string]*routes.Service{"llm": {Engine: &routes.Engine{}}}
	free := map[string]int{}
	for i := range 4 {
		small, large := fmt.Sprintf("10.0.0.%d:1", i), fmt.Sprintf("10.0.1.%d:1", i)
		services[small] = &routes.Service{Store: &routes.Store{Address: small, MemoryTokens: 1_400_000, LinkBytesPerSecond: 9 << 30}}
		services[large] = &routes.Service{Store: &routes.Store{Address: large, MemoryTokens: 12_000_000, LinkBytesPerSecond: 3 << 30}}
	}
	var trackers []*Tracker
	for range processes {
		tracker := NewTracker(nil, zap.NewNop(), "a", c.Now)
		tracker.SetStores(services)
		tracker.SetEngines(map[string]Engine{"10.0.2.1:1": {TokenBytes: tokenBytes}})
		for address, s := range tracker.stores {
			tracker.applyListing(address, Listing{Epoch: 1, Complete: map[SegmentKey]SegmentInfo{}}, c.now)
			free[address] = s.config.MemoryTokens
		}
		trackers = append(trackers, tracker)
	}
	lost := 0
	eventsAt := map[time.Time]map[string][]Change{}
	const every = time.Second / perSecond
	for n := range int(length / every) {
		for _, tracker := range trackers {
			for address := range tracker.stores {
				if len(eventsAt[c.now][address]) == 0 && n%idleEventInterval != 0 {
					continue
				}
				tracker.applyEvents(address, Events{Epoch: 1, ClockMS: c.now.UnixMilli(), Changes: eventsAt[c.now][address]}, c.now)
			}
		}
		id := fmt.Sprint("p", n)
		to := trackers[n%processes].Plan(Prompt{Salt: "s.1", Segments: []Segment{{id, tokens}}}, id, "", 0, residency.Rule{}).SaveTo[0]
		if to == "" || free[to] < tokens {
			lost++
		} else {
			free[to] -= tokens
			at := c.now.Add(eventDelay)
			if eventsAt[at] == nil {
				eventsAt[at] = map[string][]Change{}
			}
			eventsAt[at][to] = append(eventsAt[at][to], added("s.1", id, tokens))
		}
		c.now = c.now.Add(every)
	}
	if lost > 0 {
		t.Errorf("%d of %d saves did not fit", lost, int(length/every))
	}
	for address, left := range free {
		if memory := services[address].Store.MemoryTokens; left > memory*9/10 {
			t.Errorf("%s has %d of %d tokens free, want less than nine tenths", address, left, memory)
		}
	}
}
