package routing

import "testing"

// TestLocalDomainPreferredUnlessQueued gives two idle endpoints, one in another domain, and
// then lets the near one have a queue.
func TestLocalDomainPreferredUnlessQueued(t *testing.T) {
	e, r := newEndpoints(2), newRequest()
	e[0].Domain = "far"
	r.CrossDomainPenalty = 0.02
	for range 20 {
		if v := Decide(e, r, newRandom()); v.Endpoint.ID != e[1].ID {
			t.Fatal("an idle endpoint of the own domain was passed over")
		}
	}
	e[1].Load.QueuedTokens = 1000
	if v := Decide(e, r, newRandom()); v.Endpoint.ID != e[0].ID {
		t.Error("a queue of 100 ms is waited for to stay in the own domain")
	}
}
