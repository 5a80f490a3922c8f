// Package limitshare divides the request rate that an endpoint accepts among the processes of a
// fleet.
//
// The limit is one for all processes, which may disagree on who there is, so no share is computed
// from what a process believes of the others. Limited endpoints are divided into groups by failure
// domain and hash. The right to use the limits of a group is a lease in the platform's store; the
// view of the fleet decides only which process tries to get it. The holder uses the limits itself,
// and lends parts of larger ones to a few peers for moments that end before its lease does.
//
// While the store does not answer, the process that ranks first in its own view uses a small part of
// a limit: the endpoint must not starve, and an endpoint that names no limit any more is noticed
// only by an answer.
//
// Invariant: at most one process holds the lease of a group, so that all processes together send a
// limited endpoint at most its limit and a burst, whatever they believe of each other. Processes that
// do not reach the store add up to fallbackPart of the limit each.
package limitshare
