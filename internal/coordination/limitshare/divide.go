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

// divide returns the rate of each sender of a limit. Loans to peers that are no senders any more
// count until they end.
func divide(perSecond float64, senders []netip.Addr, loans map[netip.Addr]loan, now time.Time) float64 {
	rest := perSecond
	for host, l := range loans {
		if !slices.Contains(senders, host) && now.Before(l.until) {
			rest -= l.perSecond
		}
	}
	return max(0, rest/float64(len(senders)))
}
