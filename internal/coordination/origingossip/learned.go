package origingossip

import (
	"net/netip"
	"sync"
	"time"
)

const (
	// learnedRetention is how long a process is remembered after a report last came from it or named it: as long as the
	// origins that it may hold.
	learnedRetention = time.Minute
	// maxLearned bounds the remembered processes. A larger fleet relies on its membership.
	maxLearned = 64
)

// learnedPeers are the processes that this one has learned of from reports. Membership may lack one that has just started, or
// whose messages are lost on the way here; it would be sent no records, and could not resume this process's streams.
type learnedPeers struct {
	mu     sync.Mutex
	byHost map[netip.Addr]learnedPeer
}

type learnedPeer struct {
	domain string
	// lastNamed is when a report last came from it or named it, lastReport when one last came from it, zero if none did.
	lastNamed, lastReport time.Time
}

// add records a process that a report names, or that sent it if isSender is set.
func (l *learnedPeers) add(p Peer, isSender bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, ok := l.byHost[p.Host]
	if !ok && len(l.byHost) >= maxLearned && !l.evict(now) {
		return
	}
	if l.byHost == nil {
		l.byHost = map[netip.Addr]learnedPeer{}
	}
	known.domain, known.lastNamed = p.Domain, now
	if isSender {
		known.lastReport = now
	}
	l.byHost[p.Host] = known
}

// evict removes the processes whose learnedRetention is over, and reports whether there were any.
func (l *learnedPeers) evict(now time.Time) bool {
	before := len(l.byHost)
	for host, known := range l.byHost {
		if now.Sub(known.lastNamed) > learnedRetention {
			delete(l.byHost, host)
		}
	}
	return len(l.byHost) < before
}

// refresh records a report of a process. It returns false if the process is not known by its introduction.
func (l *learnedPeers) refresh(host netip.Addr, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, ok := l.byHost[host]
	if !ok {
		return false
	}
	known.lastNamed, known.lastReport = now, now
	l.byHost[host] = known
	return true
}

// list returns the remembered processes that are not among those that membership knows.
func (l *learnedPeers) list(members []Peer, now time.Time) []Peer {
	return l.filter(members, now, func(learnedPeer) bool { return true })
}

// senders returns those of list whose own reports arrive here. Only these are named to others: a process that is gone
// would otherwise be remembered for as long as two others name it to each other.
func (l *learnedPeers) senders(members []Peer, now time.Time) []Peer {
	return l.filter(members, now, func(known learnedPeer) bool { return now.Sub(known.lastReport) <= learnedRetention })
}

func (l *learnedPeers) filter(members []Peer, now time.Time, matches func(learnedPeer) bool) []Peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.byHost) == 0 {
		return nil
	}
	listed := make(map[netip.Addr]bool, len(members))
	for _, p := range members {
		listed[p.Host] = true
	}
	var out []Peer
	for host, known := range l.byHost {
		if !listed[host] && now.Sub(known.lastNamed) <= learnedRetention && matches(known) {
			out = append(out, Peer{host, known.domain})
		}
	}
	return out
}
