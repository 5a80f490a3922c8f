// Package quarantine finds requests, and parts of prompts that several requests contain, that crash the endpoints which
// run them (queries of death), and keeps them from being run.
//
// A Tracker holds the evidence: for each request that was in flight when an endpoint crashed, at which crashes it
// was. It blames a crash on the request that was in flight at the most crashes, not on those that ran beside it. Crashes
// are also divided among the parts of the prompts that were in flight there; answers that run well clear their parts.
// The evidence of all processes is merged, in any order and any number of times, so that messages may be lost,
// repeated or late. A Guard applies a Tracker's verdicts to requests and keeps quarantines in the platform's store,
// so that they outlive the processes. It does not exchange messages with other processes.
package quarantine
