package limitshare

import (
	"net/netip"
	"slices"
	"time"

	"limpetwall/internal/coordination/pushback"
)

const (
	// reportInterval is the time between two reports of use, askTTL how long a need in one counts.
	reportInterval = time.Second
	askTTL         = 3 * reportInterval
	// maxAskers bounds the processes that ask for loans of one limit.
	maxAskers = 64
	// minTurnTime is how long at least a process uses a limit that more processes ask for than may use it
	// at once, and requestsPerTurn how many requests a turn allows at least.
	minTurnTime     = 2 * time.Second
	requestsPerTurn = 6
)

// reportUse reports to the process that uses the limits, or the one that ranks first, which limits this process
// needs loans of, as it turns callers away for them, and confirms those that answers to it have named: that
// process may have no requests for the endpoints itself. d.mu is held.
func (d *Divider) reportUse(g *group, endpoints []pushback.Limited, first netip.Addr, now time.Time) {
	if now.Sub(g.reportedAt) < reportInterval {
		return
	}
	g.reportedAt = now
	var needed, confirmed []pushback.Key
	for _, e := range endpoints {
		hasSent := e.RecentSends(now) > 0
		switch {
		case e.WasUnserved(now), hasSent && now.Sub(g.askedAt[e.Key]) < askTTL:
			g.askedAt[e.Key] = now
			needed = append(needed, e.Key)
		case hasSent:
			confirmed = append(confirmed, e.Key)
		}
	}
	holder := first
	switch {
	case now.Sub(g.holderSeenAt) < escalation:
		holder = g.holder
	case now.Sub(g.noteHolderAt) < maxRetryInterval+callTimeout && g.noteHolder.IsValid():
		holder = g.noteHolder
	}
	if len(needed)+len(confirmed) > 0 && holder != d.Self {
		d.Messenger.ReportUse(holder, needed, confirmed)
	}
}

// RecordAsk records that a peer asks for loans of limits.
func (d *Divider) RecordAsk(from netip.Addr, endpoints []pushback.Key, now time.Time) {
	for _, limited := range d.Registry.Limited(now) {
		if slices.Contains(endpoints, limited.Key) {
			d.recordAsk(from, limited, now)
		}
	}
}

func (d *Divider) recordAsk(from netip.Addr, e pushback.Limited, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	g := d.groups[groupOf(e)]
	if g == nil {
		return
	}
	askers := g.askers[e.Key]
	if askers == nil {
		askers = map[netip.Addr]time.Time{}
		g.askers[e.Key] = askers
	}
	if _, exists := askers[from]; exists || len(askers) < maxAskers {
		askers[from] = now
	}
}

// senders returns the processes that use a limit now. While callers are turned away for it, only processes
// with requests for the endpoint do, in turns if there are too many.
func (g *group) senders(e pushback.Limited, perSecond float64, self netip.Addr, peers []netip.Addr, now time.Time) (hosts []netip.Addr, inTurns bool) {
	askers := g.askers[e.Key]
	for host, at := range askers {
		if now.Sub(at) >= askTTL {
			delete(askers, host)
			continue
		}
		hosts = append(hosts, host)
	}
	isUnserved := e.WasUnserved(now)
	if len(hosts) == 0 && !isUnserved {
		n := senderCount(perSecond, len(peers)+1)
		return append([]netip.Addr{self}, peers[:n-1]...), false
	}
	if isUnserved || e.RecentSends(now) > 0 {
		hosts = append(hosts, self)
	}
	slices.SortFunc(hosts, netip.Addr.Compare)
	n := senderCount(perSecond, len(hosts))
	if n == len(hosts) {
		return hosts, false
	}
	start := int(turnOf(now, perSecond)*int64(n)) % len(hosts)
	return append(hosts[start:], hosts[:start]...)[:n], true
}

// turnTime returns how long a process uses a limit until it is the turn of the next.
func turnTime(perSecond float64) time.Duration {
	return max(minTurnTime, time.Duration(requestsPerTurn/perSecond*float64(time.Second)))
}

// turnOf numbers the turn at a time.
func turnOf(now time.Time, perSecond float64) int64 {
	return now.UnixNano() / int64(turnTime(perSecond))
}

func untilNextTurn(now time.Time, perSecond float64) time.Duration {
	length := int64(turnTime(perSecond))
	return time.Duration(length - now.UnixNano()%length)
}
