// Package quarantinegossip spreads the evidence against requests that crash endpoints, and their quarantines, among
// processes that serve the same callers. Such a request comes again at any of them, and crashes an endpoint at each that does not know.
//
// News are passed on at once, by each process that hears them, to a few others and several times, as messages are lost.
// Besides, each process compares its quarantines with another's again and again: one that starts, wakes up or was cut
// off gets what it missed.
package quarantinegossip
