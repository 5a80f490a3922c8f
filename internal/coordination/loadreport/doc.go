// Package loadreport exchanges, between processes that send requests to the same
// endpoints, what each of them has in flight there. An endpoint's own count of its load
// comes only with its answers: with dozens of processes and dozens of endpoints, a process
// gets a count of an endpoint every few seconds, while queues grow and shrink within one.
// Reports are datagrams, and each replaces the sender's previous one; losing one only makes
// what is known older. No guarantee depends on them.
package loadreport
