// Package gossip keeps the processes' views of the fleet and of the accepted
// configuration together, without a coordination service.
//
// Duties, a goroutine each: probe (the next ring successor, one exchange a
// period), push (news at once to a few random members), watch (the platform, in
// the few members that are its watchers), expire (suspects that did not
// refute), reconnect (members thought dead, so that a healed partition needs no
// operator) and repair (what a peer has and this process lacks).
package gossip
