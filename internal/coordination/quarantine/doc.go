// Package quarantine finds requests that crash the endpoints which run them (queries of death), and keeps them from being
// run.
//
// A Book holds the evidence: of each request that was underway where an endpoint crashed, at which crashes it was. It
// blames a crash on the request that was at most crashes, not on what ran beside it. The evidence of all processes
// is merged, in any order and as often as it comes, so that messages may be lost, repeated or late. A Guard is a
// Book with its duties: it keeps quarantines in the platform's store, so that they outlive the processes, and
// takes part in none of the traffic between them.
package quarantine
