package limitshare

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// ratePerSender is the part of a limit, in requests per second, for which another process is
	// worthwhile: one process of a large fleet has few requests for one endpoint.
	ratePerSender = 2.0
	// maxSenders bounds the processes that use one limit. Each may send a request more than its rate.
	maxSenders = 8
	// fallbackPart of a limit may be used by a process that does not reach the store. Four such
	// processes, or one beside the holder of the lease, stay within the limit and half of it.
	fallbackPart = 1.0 / 4
)

// senderCount returns how many of the available processes use a limit.
func senderCount(perSecond float64, available int) int {
	return max(1, min(int(perSecond/ratePerSender), maxSenders, available))
}

// loan is the part of a limit that a peer may use until a time.
type loan struct {
	perSecond float64
	until     time.Time
}

// ledger holds the loans of a limit by borrower. A loan that a smaller one has replaced counts until it
// ends, as the message may be lost.
type ledger map[netip.Addr][]loan

func (l ledger) add(host netip.Addr, next loan, now time.Time) {
	kept := l[host][:0]
	for _, old := range l[host] {
		if now.Before(old.until) && (old.perSecond > next.perSecond || old.until.After(next.until)) {
			kept = append(kept, old)
		}
	}
	l[host] = append(kept, next)
}

// inForce returns the highest rate that a borrower may use now.
func (l ledger) inForce(host netip.Addr, now time.Time) (perSecond float64) {
	for _, loan := range l[host] {
		if now.Before(loan.until) {
			perSecond = max(perSecond, loan.perSecond)
		}
	}
	return perSecond
}

func (l ledger) isAnyInForce(now time.Time) bool {
	for host := range l {
		if l.inForce(host, now) > 0 {
			return true
		}
	}
	return false
}

// divide returns the rate of each sender of a limit. A borrower that may use more than that, or that is no
// sender any more, keeps its part until its loan ends.
func divide(perSecond float64, senders []netip.Addr, loans ledger, now time.Time) float64 {
	rest, left := perSecond, len(senders)
	rate, lowest := perSecond/float64(left), perSecond/float64(left)
	counted := map[netip.Addr]bool{}
	for isStable := false; !isStable; {
		isStable = true
		for host := range loans {
			used := loans.inForce(host, now)
			isSender := slices.Contains(senders, host)
			if counted[host] || used == 0 || (isSender && used <= rate) {
				continue
			}
			counted[host], isStable = true, false
			rest -= used
			if isSender {
				left--
				lowest = min(lowest, used)
			}
		}
		if left == 0 {
			// All may use more than they will; what each has in force is not exceeded.
			return lowest
		}
		rate = max(0, rest/float64(left))
	}
	return rate
}
