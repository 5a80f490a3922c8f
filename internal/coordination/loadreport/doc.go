// Package loadreport tells processes that send requests to the same endpoints what
// each of them has underway there. An endpoint's own count of its load comes with its
// answers only: with dozens of processes before dozens of endpoints a process hears of
// an endpoint every few seconds, while queues grow and shrink within one. Reports are
// datagrams, each replacing the sender's last; a lost one costs nothing but the age of
// what is known. Nothing that must hold rests on them.
package loadreport
