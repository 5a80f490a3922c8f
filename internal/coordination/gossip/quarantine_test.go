package gossip_test

import (
	"testing"
	"time"

	"limpetwall/internal/coordination/quarantine"
	"limpetwall/internal/state/fingerprint"
)

// TestQuarantinesReachAll tells one process of 60 of two crashes, another of a third, and lets both find that a request is to be
// quarantined; a process starts later, and one was cut off.
//
// Wherever the request comes next it is known within seconds, also at those that heard nothing of the crashes.
func TestQuarantinesReachAll(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.startMany(60, domains...)
		c.waitFor("all know all", 30*time.Second, c.allSeeSize(60))
		key := fingerprint.Of(fingerprint.Request{Target: "/x"}, nil)
		allRefuse := func() bool {
			for _, m := range c.members() {
				if m.node.Quarantines().Check(key, time.Now()).Standing == quarantine.Clear {
					return false
				}
			}
			return true
		}
		members := c.members()
		cutOff := members[59]
		c.setCut(func(from, to *member) bool { return from == cutOff || to == cutOff })
		for crash := range uint64(3) {
			members[crash/2].node.Quarantines().RecordCrash(key, crash, quarantine.RequestInfo{}, time.Now())
		}
		c.kill(members[2].id)
		time.Sleep(3 * time.Second)
		for _, m := range members[:2] {
			m.node.Quarantines().Evaluate(time.Now())
		}
		if len(members[0].node.Quarantines().DurableRecords())+len(members[1].node.Quarantines().DurableRecords()) == 0 {
			t.Fatal("no quarantine")
		}
		time.Sleep(2 * time.Second)
		c.setCut(func(_, _ *member) bool { return false })
		c.start("late", "a1", "region-a")
		c.waitFor("every process refuses the request", 10*time.Second, allRefuse)
	})
}
