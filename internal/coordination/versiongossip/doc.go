// Package versiongossip tells the processes of a fleet how long ago versions of weights were named.
//
// The platform's store does not say when a version was named. A process knows it if it saw the naming; one that has
// started since, or was cut off meanwhile, asks the others. While an endpoint lacks its target weights, each
// process also compares with another one now and then, so that all of them know what any of them has seen. A
// process that no answer reaches takes the weights for too old: no guarantee depends on a message.
package versiongossip
