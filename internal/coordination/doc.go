// Package coordination holds no code. Its subdirectories are packages of four groups, and a
// package imports only those of its own group and of the groups below:
//
//	serving   gateway, entry, agent, runs, rollout, errorbudget: requests and orders, from arrival to outcome
//	exchange  gossip, loadreport, contentreport, leasenotice, quarantinegossip, pushbackgossip: what processes report to each other
//	policy    routing, admission, pushback, limitshare, warmup, quarantine, plan, contextcache, contexttransfer: decisions
//	records   discovery, configlog, lease, idempotency: what is kept in the platform's store and read from it
package coordination
