package routes

import (
	"container/list"
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// sharingDay is a drawn day of configurations and prompts.
type sharingDay struct {
	// configs name the customers, and whether they are isolated.
	configs []map[string]bool
	// prompts are the requests between a configuration and the next.
	prompts [][]sharingPrompt
}

type sharingPrompt struct {
	customer, part string
	tokens         int
}

const (
	// sharingSteady customers never change; sharingOthers are those that the days' configurations change.
	sharingSteady, sharingOthers = 7, 5
	// sharingConfigs configurations follow each other in a day, each in force for sharingRequests requests.
	sharingConfigs, sharingRequests = 13, 2000
	// sharingCapacity is the memory of all caches together, in tokens.
	sharingCapacity = 900_000
)

// isolate, share, join and leave are changes of a configuration; each returns false if it can't be made for a customer.
func isolate(c map[string]bool, name string) bool { return setWall(c, name, true) }
func share(c map[string]bool, name string) bool   { return setWall(c, name, false) }

func setWall(c map[string]bool, name string, to bool) bool {
	isolated, known := c[name]
	if known {
		c[name] = to
	}
	return known && isolated != to
}

func join(c map[string]bool, name string) bool {
	_, known := c[name]
	if !known {
		c[name] = false
	}
	return !known
}

func joinIsolated(c map[string]bool, name string) bool { return join(c, name) && isolate(c, name) }

func leave(c map[string]bool, name string) bool {
	_, known := c[name]
	delete(c, name)
	return known
}

func drawSharingDay(seed uint64, changes ...func(map[string]bool, string) bool) *sharingDay {
	random := rand.New(rand.NewPCG(seed, 0))
	config := map[string]bool{}
	for i := range sharingSteady {
		config[fmt.Sprint("steady-", i)] = i == 0
	}
	for i := range sharingOthers {
		if i > 0 {
			config[fmt.Sprint("other-", i)] = i == 1
		}
	}
	d := &sharingDay{}
	for range sharingConfigs {
		d.configs = append(d.configs, config)
		names := make([]string, 0, len(config))
		for name := range config {
			names = append(names, name)
		}
		slices.Sort(names)
		var prompts []sharingPrompt
		for range sharingRequests {
			// Few documents make up most prompts, and few customers send most of them.
			document := int(300 * random.Float64() * random.Float64())
			customer := names[int(float64(len(names))*random.Float64()*random.Float64())]
			prompts = append(prompts, sharingPrompt{customer, fmt.Sprint("document-", document), 1000 + 37*(document%60)})
		}
		d.prompts = append(d.prompts, prompts)
		next := map[string]bool{}
		for name, isolated := range config {
			next[name] = isolated
		}
		for len(changes) > 0 && !changes[random.IntN(len(changes))](next, fmt.Sprint("other-", random.IntN(sharingOthers))) {
		}
		config = next
	}
	return d
}

// sharingWay names the group of the customers that are not isolated in a configuration, given the day's earlier ones, too.
type sharingWay func(configs []map[string]bool) string

// byIsolated is the way that is built.
func byIsolated(configs []map[string]bool) string {
	var customers []Customer
	for name, isolated := range configs[len(configs)-1] {
		customers = append(customers, Customer{Name: name, Isolated: isolated})
	}
	return New(1, 1, nil, nil, customers, Limits{}).SharingGroup(nil)
}

// byMembers names the set of customers that share.
func byMembers(configs []map[string]bool) string {
	var names []string
	for name, isolated := range configs[len(configs)-1] {
		if !isolated {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return fmt.Sprintf("%x", sha256.Sum256([]byte(strings.Join(names, "\x00"))))
}

// byGeneration counts the configurations in which a customer stopped sharing. It needs all earlier ones.
func byGeneration(configs []map[string]bool) string {
	n := 0
	for i := range configs[1:] {
		for name, isolated := range configs[i] {
			if after, known := configs[i+1][name]; !isolated && (!known || after) {
				n++
				break
			}
		}
	}
	return fmt.Sprint(n)
}

func byVersion(configs []map[string]bool) string { return fmt.Sprint(len(configs)) }

// unchanged never changes the group. With dropping, it shows what remains to be read again if exactly the parts of the
// customers that stop sharing are dropped, which no salt can do.
func unchanged([]map[string]bool) string { return "" }

type sharedPart struct {
	key, maker string
	tokens     int
}

// play returns the tokens that the customers whose walls never change read in a day.
func (d *sharingDay) play(way sharingWay, dropping bool) (read int) {
	order, parts, used := list.New(), map[string]*list.Element{}, 0
	remove := func(e *list.Element) {
		p := order.Remove(e).(sharedPart)
		delete(parts, p.key)
		used -= p.tokens
	}
	for i, config := range d.configs {
		group := way(d.configs[:i+1])
		for e := order.Front(); dropping && e != nil; {
			next := e.Next()
			if p := e.Value.(sharedPart); config[p.maker] && !strings.HasPrefix(p.key, "own") {
				remove(e)
			}
			e = next
		}
		for _, p := range d.prompts[i] {
			key := "shared " + group + " " + p.part
			if config[p.customer] {
				key = "own " + p.customer + " " + p.part
			}
			if e, ok := parts[key]; ok {
				order.MoveToFront(e)
				continue
			}
			if strings.HasPrefix(p.customer, "steady") {
				read += p.tokens
			}
			parts[key] = order.PushFront(sharedPart{key, p.customer, p.tokens})
			for used += p.tokens; used > sharingCapacity; {
				remove(order.Back())
			}
		}
	}
	return read
}

// TestSharingCost guards against customers whose walls do not change and that lose their context with every configuration. It
// logs what each way costs them; see docs/design/walls.md.
func TestSharingCost(t *testing.T) {
	ways := []struct {
		name string
		way  sharingWay
	}{{"set of isolated", byIsolated}, {"set of members", byMembers}, {"generation", byGeneration}, {"version", byVersion}}
	const days = 8
	for _, row := range []struct {
		name    string
		changes []func(map[string]bool, string) bool
		// most is how many thousand tokens a day the way that is built may cost.
		most int
	}{
		{"keys and routes only", nil, 0},
		{"shared customers join and leave", []func(map[string]bool, string) bool{join, func(c map[string]bool, name string) bool {
			return !c[name] && leave(c, name)
		}}, 0},
		{"customers isolated and shared again", []func(map[string]bool, string) bool{isolate, share}, 1200},
		{"isolated customers join and leave", []func(map[string]bool, string) bool{
			joinIsolated, func(c map[string]bool, name string) bool { return c[name] && leave(c, name) },
		}, 1200},
		{"all but isolated customers that join", []func(map[string]bool, string) bool{isolate, share, join, leave}, 1200},
		{"all of these", []func(map[string]bool, string) bool{isolate, share, join, joinIsolated, leave}, 1200},
	} {
		costs, least, all := make([]int, len(ways)), 0, 0
		for seed := range uint64(days) {
			d := drawSharingDay(seed, row.changes...)
			exact, none := d.play(unchanged, true), d.play(unchanged, false)
			least, all = least+exact-none, all+none
			for i, w := range ways {
				costs[i] += d.play(w.way, false) - exact
			}
		}
		t.Logf("%s: %d thousand tokens read a day without walls, %d more if exactly what must go is dropped", row.name, all/days/1000, least/days/1000)
		for i, w := range ways {
			t.Logf("  %-16s %6d thousand tokens read again a day", w.name, costs[i]/days/1000)
		}
		if got := costs[0] / days / 1000; got > row.most {
			t.Errorf("%s: customers whose walls do not change read %d thousand tokens again a day, %d allowed", row.name, got, row.most)
		}
	}
}
