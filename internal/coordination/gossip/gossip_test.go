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

// runCluster runs a test on a new cluster in a synctest bubble, with its own clock.
func runCluster(t *testing.T, test func(c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.stopAll()
		test(c)
	})
}

// TestChangeReachesAll confirms changes one after another in a fleet of 60 processes.
// Each must be in force at the median process within 1 s and at all within 10 s,
// though only two processes of each failure domain watch the platform.
func TestChangeReachesAll(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.startMany(60, domains...)
		c.waitFor("every view has all members", 30*time.Second, c.allSeeSize(60))
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
				t.Errorf("median time until a change is in force: got %s, want at most 1s", times[30])
			}
		}
	})
}

// TestDeadHostLeavesEveryView kills processes, one after another. The ring neighbours of
// each get no answer and suspect it. When the time to refute has passed, within 5 s,
// it must be dead in every table, so that no entry process chooses it any more.
func TestDeadHostLeavesEveryView(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.startMany(60, domains...)
		c.waitFor("every view has all members", 30*time.Second, c.allSeeSize(60))
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

// TestLeavingHostLeavesEveryView marks a host as leaving on the host list only. Within
// 3 s it must be leaving in every view, so that it gets no new work.
func TestLeavingHostLeavesEveryView(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.startMany(60, domains...)
		c.waitFor("every view has all members", 30*time.Second, c.allSeeSize(60))
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

// TestPausedProcessReturns pauses processes for a short and a long time. A process
// that is paused for a second must not be declared dead anywhere. One that is paused
// for eight seconds is declared dead; when it resumes it refutes that with a higher
// version, and every view must have it alive again without an operator.
func TestPausedProcessReturns(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.startMany(40, domains...)
		c.waitFor("every view has all members", 30*time.Second, c.allSeeSize(40))
		for i := range 10 {
			id := fmt.Sprintf("n%03d", i)
			c.pause(id, true)
			time.Sleep(time.Second)
			c.pause(id, false)
			time.Sleep(5 * time.Second)
			if !c.allSeeSize(40)() {
				t.Errorf("%s was declared dead after a pause of 1 s", id)
			}
		}
		c.pause("n011", true)
		time.Sleep(8 * time.Second)
		if row, _ := c.nodes["n020"].node.Table().Get("n011"); row.State != fleet.Dead {
			t.Errorf("state after a pause of 8 s: got %s, want dead", row.State)
		}
		c.pause("n011", false)
		took := c.waitFor("alive again everywhere", 30*time.Second, c.allSeeSize(40))
		t.Logf("alive everywhere %s after the pause", took)
	})
}

// TestBrokenLinkCausesNoSuspicion drops all messages between two processes, while each
// still reaches all others. The prober asks two other members, which reach the target,
// so nobody may suspect it.
func TestBrokenLinkCausesNoSuspicion(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.startMany(20, domains...)
		c.waitFor("every view has all members", 30*time.Second, c.allSeeSize(20))
		first := c.members()[0]
		prober, victim := first.id, first.node.Table().Successors(1)[0].ID
		c.setCut(func(from, to *member) bool { return from.id == prober && to.id == victim })
		before, _ := first.node.Table().Get(victim)
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			// A member that is suspected raises its version to refute that.
			if row, _ := c.nodes[victim].node.Table().Get(victim); row.Version != before.Version {
				t.Fatal("a member was suspected because of one broken link")
			}
		}
	})
}

// TestRegionPartitionHeals partitions two regions for ten minutes. Each side must
// continue with its own members, and a change confirmed meanwhile must come into force
// on both sides, since both still reach the platform. After the partition every view
// must have all members again without an operator.
func TestRegionPartitionHeals(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.startMany(30, domains...)
		c.waitFor("every view has all members", 30*time.Second, c.allSeeSize(30))
		c.setCut(func(from, to *member) bool { return from.region != to.region })
		c.waitFor("each side has only its own members", 30*time.Second, func() bool {
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
		took = c.waitFor("every view has all members again", time.Minute, c.allSeeSize(30))
		t.Logf("every view has all members %s after the partition ended", took)
	})
}

// TestFailureDomainLostAndBack kills all processes of a failure domain and later starts
// them again all at once. The others must drop them within 8 s. After the restart every
// view must have all members and the configuration within 30 s, and the platform must
// receive fewer than 200 calls in any second.
func TestFailureDomainLostAndBack(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.startMany(60, domains...)
		revision := c.confirmChange(1)
		c.waitFor("in force", 30*time.Second, func() bool { return c.allSeeSize(60)() && c.allAtRevision(revision)() })
		for i := 2; i < 60; i += 3 {
			c.kill(fmt.Sprintf("n%03d", i))
		}
		took := c.waitFor("no view has the lost domain", 8*time.Second, c.allSeeSize(40))
		t.Logf("every view without the lost domain after %s", took)
		time.Sleep(time.Minute)
		c.platform.popPeak()
		for i := 2; i < 60; i += 3 {
			c.start(fmt.Sprintf("n%03d", i), "b1", "region-b")
		}
		took = c.waitFor("every view has all members and the change", 30*time.Second, func() bool { return c.allSeeSize(60)() && c.allAtRevision(revision)() })
		peak := c.platform.popPeak()
		t.Logf("every view has all members and the change after %s, peak %d platform calls/s", took, peak)
		if peak >= 200 {
			t.Errorf("peak platform calls per second: got %d, want fewer than 200", peak)
		}
	})
}

// TestPlatformDownForAnHour confirms a change, takes the platform down for an hour and
// restarts processes meanwhile. The change must stay in force everywhere, and processes
// that start during the outage must get it from their peers. After the outage a new
// change must come into force as usual. During the outage the platform must receive
// fewer than 200 calls in any second.
func TestPlatformDownForAnHour(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.startMany(24, domains...)
		c.waitFor("every view has all members", 30*time.Second, c.allSeeSize(24))
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
			t.Errorf("peak platform calls per second: got %d, want fewer than 200", peak)
		}
		c.platform.setDown(false)
		c.waitFor("every view has all members", 30*time.Second, func() bool { return c.allSeeSize(24)() })
		revision = c.confirmChange(2)
		took := c.waitFor("in force", 30*time.Second, c.allAtRevision(revision))
		t.Logf("first change after the outage in force after %s", took)
	})
}

// TestThirdOfHostsRestartAtOnce kills 30 of 100 processes and at once starts them again.
// Within a minute every view must have all members and the configuration, and the
// platform must receive fewer than 200 calls in any second.
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
		took := c.waitFor("every view has all members and the change", time.Minute, func() bool { return c.allSeeSize(100)() && c.allAtRevision(revision)() })
		peak := c.platform.popPeak()
		t.Logf("every view has all members and the change after %s, peak %d platform calls/s", took, peak)
		if peak >= 200 {
			t.Errorf("peak platform calls per second: got %d, want fewer than 200", peak)
		}
	})
}
