// Package gossip synchronizes the processes' views of the fleet and of the
// accepted configuration by a SWIM-like gossip protocol, without a coordination
// service.
//
// Each of these loops runs in a goroutine of its own:
//
//   - probe: one exchange per interval with the next ring successor.
//   - push: sends urgent updates at once to a few random contacts.
//   - platform watch and host list: follow the configuration and the host list
//     on the platform, in the few members that are its watchers.
//   - expiry: declares dead the suspects that did not refute in time.
//   - reconnect: contacts members thought dead, so that a healed partition
//     needs no operator.
//   - join: contacts the seeds while this process knows no other member.
//   - repair: anti-entropy; fetches what a peer has and this process lacks.
//   - quarantine: triggers a push for urgent crash records.
package gossip
