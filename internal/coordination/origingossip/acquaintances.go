package origingossip

import (
	"net/netip"
	"sync"
	"time"
)

const (
	// acquaintanceLifetime is how long a process is remembered after it was last heard of: as long as the origins that it
	// may hold.
	acquaintanceLifetime = time.Minute
	// maxAcquaintances bounds the remembered processes. A larger fleet relies on its membership.
	maxAcquaintances = 64
)

// acquaintances are the processes that this one has heard of by reports. Membership may lack them: it learns of a process
// that has just started after up to a second, and of one whose messages do not arrive here not at all.
//
// Without them, knowledge may be one-sided: a process that is not known to another is sent none of its records, and can't go
// on with its streams once that other is killed.
type acquaintances struct {
	mu     sync.Mutex
	byHost map[netip.Addr]acquaintance
}

type acquaintance struct {
	domain string
	// heardOf is when it was last heard of, heard when a report of its own last arrived, zero if none did.
	heardOf, heard time.Time
}

// add records that a process was heard of, and by a report of its own if isSender is set.
func (a *acquaintances) add(p Peer, isSender bool, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	known, ok := a.byHost[p.Host]
	if !ok && len(a.byHost) >= maxAcquaintances && !a.evict(now) {
		return
	}
	if a.byHost == nil {
		a.byHost = map[netip.Addr]acquaintance{}
	}
	known.domain, known.heardOf = p.Domain, now
	if isSender {
		known.heard = now
	}
	a.byHost[p.Host] = known
}

// evict forgets the processes that were not heard of lately, and reports whether there were any.
func (a *acquaintances) evict(now time.Time) bool {
	before := len(a.byHost)
	for host, known := range a.byHost {
		if now.Sub(known.heardOf) > acquaintanceLifetime {
			delete(a.byHost, host)
		}
	}
	return len(a.byHost) < before
}

// refresh records a report of a process, and reports whether that process has introduced itself.
func (a *acquaintances) refresh(host netip.Addr, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	known, ok := a.byHost[host]
	if !ok {
		return false
	}
	known.heardOf, known.heard = now, now
	a.byHost[host] = known
	return true
}

// list returns the remembered processes that are not among those that membership knows.
func (a *acquaintances) list(members []Peer, now time.Time) []Peer {
	return a.filter(members, now, func(acquaintance) bool { return true })
}

// senders returns those of list whose own reports arrive here. Only these are named to others: a process that is gone
// would otherwise be remembered for as long as two others name it to each other.
func (a *acquaintances) senders(members []Peer, now time.Time) []Peer {
	return a.filter(members, now, func(known acquaintance) bool { return now.Sub(known.heard) <= acquaintanceLifetime })
}

func (a *acquaintances) filter(members []Peer, now time.Time, matches func(acquaintance) bool) []Peer {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.byHost) == 0 {
		return nil
	}
	listed := make(map[netip.Addr]bool, len(members))
	for _, p := range members {
		listed[p.Host] = true
	}
	var out []Peer
	for host, known := range a.byHost {
		if !listed[host] && now.Sub(known.heardOf) <= acquaintanceLifetime && matches(known) {
			out = append(out, Peer{host, known.domain})
		}
	}
	return out
}
