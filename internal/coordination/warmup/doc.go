// Package warmup lets one process of a fleet use an endpoint while it is cold.
//
// An endpoint that has just started withstands only a few requests per second, summed over all
// processes, and crashes above that. The processes do not know how much the others send, and they
// may disagree on who there is: a process that was just started, or that is cut off from the
// others, would count itself as the only one. So no share is computed from a view of the fleet.
// The right to send to a cold endpoint is a record in the platform's store, which only one process
// can create; the view of the fleet decides merely which process tries to.
//
// Invariant: while a record exists, only the process that created it sends to the endpoint as long
// as it believes it cold. A process deletes only its own record, once the endpoint is warm, and the
// records of endpoints that have long been gone. Without an answer from the store nobody sends.
package warmup
