package gossip_test

import (
	"testing"
	"time"

	"limpetwall/internal/coordination/quarantine"
	"limpetwall/internal/state/fingerprint"
)

// TestQuarantinesReachAll guards against a process that still accepts a quarantined
// request. Of 60 processes, one records two crashes of a request and another the
// third, and both evaluate it. A process that was cut off meanwhile and one that
// starts later must also refuse the request within 10 s.
func TestQuarantinesReachAll(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.startMany(60, domains...)
		c.waitFor("every view has all members", 30*time.Second, c.allSeeSize(60))
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
			t.Fatal("neither process that recorded crashes quarantined the request")
		}
		time.Sleep(2 * time.Second)
		c.setCut(func(_, _ *member) bool { return false })
		c.start("late", "a1", "region-a")
		c.waitFor("every process refuses the request", 10*time.Second, allRefuse)
	})
}
