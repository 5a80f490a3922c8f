package gossip_test

import (
	"fmt"
	"sort"
	"testing"
	"testing/synctest"
	"time"

	"limpetwall/internal/state/fleet"
	"limpetwall/internal/transport/hostlist"
)

var domains = []string{"a1", "a2", "b1"}

// runCluster runs a test in a bubble with its own clock.
func runCluster(t *testing.T, test func(c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.stopAll()
		test(c)
	})
}

// TestChangeReachesAll accepts changes one after another on 60 processes.
//
// Operators see each change in force everywhere: the median process has it
// within 1 s and all within 10 s, though only two processes of each failure
// domain watch the platform.
func TestChangeReachesAll(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.startMany(60, domains...)
		c.waitFor("all know all", 30*time.Second, c.allSeeSize(60))
		for number := range 5 {
			revision := c.confirmChange(number)
			accepted := time.Now()
			arrived := map[string]time.Duration{}
			c.waitFor("in force everywhere", 10*time.Second, func() bool {
				for _, m := range c.members() {
					if _, ok := arrived[m.id]; !ok && m.store.View().Revision >= revision {
						arrived[m.id] = time.Since(accepted)
					}
				}
				return len(arrived) == 60
			})
			times := make([]time.Duration, 0, 60)
			for _, d := range arrived {
				times = append(times, d)
			}
			sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
			t.Logf("median %s, last %s", times[30], times[59])
			if times[30] > time.Second {
				t.Errorf("median %s", times[30])
			}
		}
	})
}

// TestDeadHostLeavesEveryView makes one process vanish.
//
// Entries stop choosing it everywhere: its ring neighbours get no answer,
// suspect it, and after the time to refute every table holds it for dead,
// within 5 s.
func TestDeadHostLeavesEveryView(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.startMany(60, domains...)
		c.waitFor("all know all", 30*time.Second, c.allSeeSize(60))
		for _, id := range []string{"n007", "n031", "n055"} {
			c.kill(id)
			took := c.waitFor(id+" is dead in every view", 5*time.Second, func() bool {
				return c.holdsForAll(func(m *member) bool {
					row, _ := m.node.Table().Get(id)
					return row.State == fleet.Dead
				})
			})
			t.Logf("dead everywhere after %s", took)
		}
	})
}

// TestLeavingHostLeavesEveryView lets the host list alone say that a host
// leaves; within 3 s no view offers it for new work.
func TestLeavingHostLeavesEveryView(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.startMany(60, domains...)
		c.waitFor("all know all", 30*time.Second, c.allSeeSize(60))
		c.hosts.Set(hostlist.Host{ID: "n020", Domain: "b1", State: hostlist.Leaving, Address: "n020"})
		took := c.waitFor("leaving in every view", 3*time.Second, func() bool {
			return c.holdsForAll(func(m *member) bool {
				row, _ := m.node.Table().Get("n020")
				return row.State == fleet.Leaving
			})
		})
		t.Logf("leaving everywhere after %s", took)
	})
}

// TestPausedProcessReturns pauses processes for a short and a long time.
//
// A process paused for a second is not declared dead anywhere. One paused for
// eight seconds is, and when it goes on it refutes that with a higher version:
// every view has it alive again without an operator.
func TestPausedProcessReturns(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.startMany(40, domains...)
		c.waitFor("all know all", 30*time.Second, c.allSeeSize(40))
		for i := range 10 {
			id := fmt.Sprintf("n%03d", i)
			c.pause(id, true)
			time.Sleep(time.Second)
			c.pause(id, false)
			time.Sleep(5 * time.Second)
			if !c.allSeeSize(40)() {
				t.Errorf("%s was declared dead for a pause of a second", id)
			}
		}
		c.pause("n011", true)
		time.Sleep(8 * time.Second)
		if row, _ := c.nodes["n020"].node.Table().Get("n011"); row.State != fleet.Dead {
			t.Errorf("paused for 8 s and %s", row.State)
		}
		c.pause("n011", false)
		took := c.waitFor("alive again everywhere", 30*time.Second, c.allSeeSize(40))
		t.Logf("alive everywhere %s after the pause", took)
	})
}

// TestBrokenLinkCausesNoSuspicion drops all messages between two processes.
//
// Each reaches everybody else. The prober asks two others, they reach the
// member, and nobody even suspects it.
func TestBrokenLinkCausesNoSuspicion(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.startMany(20, domains...)
		c.waitFor("all know all", 30*time.Second, c.allSeeSize(20))
		first := c.members()[0]
		prober, victim := first.id, first.node.Table().Successors(1)[0].ID
		c.setCut(func(from, to *member) bool { return from.id == prober && to.id == victim })
		before, _ := first.node.Table().Get(victim)
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			// A member that was suspected raises its version to refute.
			if row, _ := c.nodes[victim].node.Table().Get(victim); row.Version != before.Version {
				t.Fatal("a member was suspected for one broken link")
			}
		}
	})
}

// TestRegionPartitionHeals cuts two regions apart for ten minutes.
//
// Each side goes on with its own members. A change accepted meanwhile (the
// platform is reached from both) is in force on both sides; after the split all
// views are whole again without an operator.
func TestRegionPartitionHeals(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.startMany(30, domains...)
		c.waitFor("all know all", 30*time.Second, c.allSeeSize(30))
		c.setCut(func(from, to *member) bool { return from.region != to.region })
		c.waitFor("each side knows its own", 30*time.Second, func() bool {
			return c.holdsForAll(func(m *member) bool {
				want := map[string]int{"region-a": 20, "region-b": 10}[m.region]
				return m.node.Table().Size() == want
			})
		})
		revision := c.confirmChange(1)
		took := c.waitFor("the change is in force on both sides", 10*time.Second, c.allAtRevision(revision))
		t.Logf("change in force on both sides after %s", took)
		time.Sleep(10 * time.Minute)
		c.setCut(func(_, _ *member) bool { return false })
		took = c.waitFor("whole again", time.Minute, c.allSeeSize(30))
		t.Logf("whole %s after the split ended", took)
	})
}

// TestFailureDomainLostAndBack makes a whole failure domain vanish and start
// again at once.
//
// The others drop it within 8 s; when its processes start again the fleet is
// whole, and the platform sees fewer than 200 calls in any second.
func TestFailureDomainLostAndBack(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.startMany(60, domains...)
		revision := c.confirmChange(1)
		c.waitFor("in force", 30*time.Second, func() bool { return c.allSeeSize(60)() && c.allAtRevision(revision)() })
		for i := 2; i < 60; i += 3 {
			c.kill(fmt.Sprintf("n%03d", i))
		}
		took := c.waitFor("the domain left every view", 8*time.Second, c.allSeeSize(40))
		t.Logf("lost domain out of every view after %s", took)
		time.Sleep(time.Minute)
		c.platform.popPeak()
		for i := 2; i < 60; i += 3 {
			c.start(fmt.Sprintf("n%03d", i), "b1", "region-b")
		}
		took = c.waitFor("whole and in force", 30*time.Second, func() bool { return c.allSeeSize(60)() && c.allAtRevision(revision)() })
		peak := c.platform.popPeak()
		t.Logf("whole after %s, peak %d platform calls/s", took, peak)
		if peak >= 200 {
			t.Errorf("%d platform calls in one second", peak)
		}
	})
}

// TestPlatformDownForAnHour accepts a change, takes the platform down for an
// hour and restarts processes meanwhile.
//
// The change accepted before stays in force everywhere and reaches the
// processes that start during the outage, from their peers. After the hour a
// new change spreads as usual, and at no time do the processes storm the
// platform.
func TestPlatformDownForAnHour(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.startMany(24, domains...)
		c.waitFor("all know all", 30*time.Second, c.allSeeSize(24))
		revision := c.confirmChange(1)
		c.waitFor("in force", 10*time.Second, c.allAtRevision(revision))
		c.platform.setDown(true)
		c.platform.popPeak()
		for hour := range 6 {
			time.Sleep(10 * time.Minute)
			id := fmt.Sprintf("n%03d", hour*4)
			domain := domains[(hour*4)%3]
			c.kill(id)
			time.Sleep(10 * time.Second)
			// The host list is down too: the new process starts from a seed.
			c.startWithSeed(id, domain, fmt.Sprintf("n%03d", (hour*4+1)%24))
			c.waitFor("the restarted process has the change", 10*time.Second, c.allAtRevision(revision))
		}
		peak := c.platform.popPeak()
		t.Logf("peak %d platform calls/s during the outage", peak)
		if peak >= 200 {
			t.Errorf("%d platform calls in one second", peak)
		}
		c.platform.setDown(false)
		c.waitFor("a change can be accepted", 30*time.Second, func() bool { return c.allSeeSize(24)() })
		revision = c.confirmChange(2)
		took := c.waitFor("in force", 30*time.Second, c.allAtRevision(revision))
		t.Logf("first change after the outage in force after %s", took)
	})
}

// TestThirdOfHostsRestartAtOnce replaces 30 of 100 processes in one moment.
func TestThirdOfHostsRestartAtOnce(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.startMany(100, domains...)
		revision := c.confirmChange(1)
		c.waitFor("in force", time.Minute, func() bool { return c.allSeeSize(100)() && c.allAtRevision(revision)() })
		c.platform.popPeak()
		for i := range 30 {
			id := fmt.Sprintf("n%03d", i)
			c.kill(id)
		}
		for i := range 30 {
			c.start(fmt.Sprintf("n%03d", i), domains[i%3], "region-"+domains[i%3][:1])
		}
		took := c.waitFor("whole and in force", time.Minute, func() bool { return c.allSeeSize(100)() && c.allAtRevision(revision)() })
		peak := c.platform.popPeak()
		t.Logf("whole after %s, peak %d platform calls/s", took, peak)
		if peak >= 200 {
			t.Errorf("%d platform calls in one second", peak)
		}
	})
}
