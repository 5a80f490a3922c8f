// Package quarantinegossip spreads the evidence against requests that crash endpoints, and their quarantines, among
// processes that serve the same callers. Such a request may arrive again at any of them, and crashes an endpoint at
// each process that does not know of it.
//
// Each process that receives an update sends it on at once, to a few others and several times, as messages are
// lost. In addition, each process regularly compares its quarantines with another's (anti-entropy): one that
// starts, wakes up or was cut off receives what it missed.
package quarantinegossip
