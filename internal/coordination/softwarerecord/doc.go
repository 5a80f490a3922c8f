// Package softwarerecord keeps in the platform's store which software versions the endpoints of each service have had
// within the last minute. Gateways remember them, but all gateways may end at once, and a version may leave meanwhile: the
// first list of those that start again does not show it.
//
// Invariant: the stored record holds every version at which a stream may have begun that a caller can still take up: processes
// begin such streams only at versions that the store has shown or acknowledged to hold. A version
// is added when any process sees it, and removed only by a process that has seen all changes for as long as streams last, right
// after its watch of endpoints was answered. Nothing is written while the versions stay the same. After the store comes back from
// an older copy, no process knows all versions until it has seen all changes for as long as streams last.
package softwarerecord
