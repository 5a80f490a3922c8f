package originstore

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"limpetwall/internal/coordination/streamorigin"
	"limpetwall/internal/transport/objectapi"
	"limpetwall/internal/transport/objectapi/standin"
)

const (
	// streamRate is the number of streams per second that begin at each process, and streamTime their mean length: 5,900 a second
	// at 370 processes, of 424 tokens in steps of up to 47 ms.
	streamRate = 16
	streamTime = 10 * time.Second
	// sampleSize is the number of streams that are asked for.
	sampleSize = 500
	// leastShare is the share of the streams that must go on after all processes were killed.
	leastShare = 0.9
	// writeBudget is the number of writes per second of all processes together, half of what a store takes.
	writeBudget = 200
)

var versions = []streamorigin.Origin{{Service: "reader", Version: "v1"}, {Service: "reader", Version: "v2"}}

// countedStore counts the calls to a store, and fails them while it is away.
type countedStore struct {
	*standin.Store
	reads, writes, bytes, lists atomic.Int64
	isAway                      atomic.Bool
}

func (s *countedStore) Get(ctx context.Context, key string) (objectapi.Object, error) {
	s.reads.Add(1)
	if s.isAway.Load() {
		return objectapi.Object{}, objectapi.ErrUnavailable
	}
	return s.Store.Get(ctx, key)
}

func (s *countedStore) Put(ctx context.Context, key string, value []byte, version int64) (objectapi.Object, error) {
	s.writes.Add(1)
	s.bytes.Add(int64(len(value)))
	if s.isAway.Load() {
		return objectapi.Object{}, objectapi.ErrUnavailable
	}
	return s.Store.Put(ctx, key, value, version)
}

func (s *countedStore) List(ctx context.Context, prefix string) ([]objectapi.Object, error) {
	s.lists.Add(1)
	if s.isAway.Load() {
		return nil, objectapi.ErrUnavailable
	}
	return s.Store.List(ctx, prefix)
}

// process is one process of a fleet.
type process struct {
	registry *streamorigin.Registry
	archive  *Archive
	stop     func()
}

// fleet is a number of processes before one store.
type fleet struct {
	store     *countedStore
	hosts     []netip.Addr
	processes []*process
	versions  []streamorigin.Origin
	nextKey   streamorigin.Key
	running   []begun
	// eachBegins is the number of streams that a process begins at a time.
	eachBegins int
}

// begun is a stream that runs, where it began, and until when.
type begun struct {
	key     streamorigin.Key
	origin  streamorigin.Origin
	process int
	end     time.Time
}

func newFleet(size int, versions []streamorigin.Origin) *fleet {
	f := &fleet{store: &countedStore{Store: standin.New()}, processes: make([]*process, size), versions: versions, eachBegins: 1}
	for n := range size {
		f.hosts = append(f.hosts, netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}))
	}
	for n := range size {
		f.start(n)
	}
	return f
}

func (f *fleet) start(n int) {
	p := &process{registry: streamorigin.NewRegistry()}
	p.registry.ObserveVersions(f.versions, time.Now())
	others := slices.DeleteFunc(slices.Clone(f.hosts), func(h netip.Addr) bool { return h == f.hosts[n] })
	p.archive = &Archive{
		Store: f.store, Origins: p.registry, Self: f.hosts[n], Hosts: func() []netip.Addr { return others },
		IsLeader: func() bool { return n == 0 }, Log: zap.NewNop(), Metrics: metrics.NewRegistry(),
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.archive.Run(ctx)
	}()
	p.stop = func() {
		cancel()
		<-done
	}
	f.processes[n] = p
}

// kill kills all processes at once.
func (f *fleet) kill() {
	for n, p := range f.processes {
		if p != nil {
			p.stop()
		}
		f.processes[n] = nil
	}
}

// serve begins and ends streams for a while.
func (f *fleet) serve(random *rand.Rand, length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(time.Second / streamRate) {
		for i := range len(f.processes) * f.eachBegins {
			n := i % len(f.processes)
			f.nextKey++
			b := begun{f.nextKey, f.versions[random.IntN(len(f.versions))], n, time.Now().Add(time.Duration(random.Int64N(int64(2 * streamTime))))}
			f.processes[n].registry.Record(b.key, b.origin, time.Now())
			f.running = append(f.running, b)
		}
		f.running = slices.DeleteFunc(f.running, func(b begun) bool {
			isOver := time.Now().After(b.end)
			if isOver {
				f.processes[b.process].registry.End(b.key, true, time.Now())
			}
			return isOver
		})
	}
}

// find looks for streams, each at some process that lives, as callers and gossip do, and counts those found, and found wrong.
func (f *fleet) find(random *rand.Rand, streams []begun) (found, wrong int) {
	alive := slices.DeleteFunc(slices.Clone(f.processes), func(p *process) bool { return p == nil })
	for _, b := range streams {
		origin, ok := streamorigin.Origin{}, false
		for _, p := range alive {
			if origin, ok = p.registry.Find(b.key); ok {
				break
			}
		}
		if !ok {
			origin, ok = alive[random.IntN(len(alive))].archive.Find(context.Background(), b.key)
		}
		if ok {
			found++
		}
		if ok && origin != b.origin {
			wrong++
		}
	}
	return found, wrong
}

// TestOriginsSurviveTheLossOfAllProcesses guards against streams that nobody can go on with once all processes were killed at
// once, also twice in a row, with hosts that do not come back, and with a store that is away as they do.
func TestOriginsSurviveTheLossOfAllProcesses(t *testing.T) {
	for _, size := range []int{3, 29, 370} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				seed := rapid.Uint64().Draw(rt, "seed")
				gone := rapid.IntRange(0, size/3).Draw(rt, "hosts that do not come back")
				kills := rapid.IntRange(1, 3).Draw(rt, "kills")
				isAway := rapid.Bool().Draw(rt, "the store is away at the start")
				if size > 3 && seed%uint64(size/4) > 0 {
					// Large fleets play some of the drawn scenarios only.
					return
				}
				synctest.Test(t, func(t *testing.T) {
					random := rand.New(rand.NewPCG(seed, seed))
					f := newFleet(size, versions)
					defer f.kill()
					f.serve(random, 25*time.Second)
					streams := slices.Clone(f.running)
					random.Shuffle(len(streams), func(i, j int) { streams[i], streams[j] = streams[j], streams[i] })
					streams = streams[:min(len(streams), sampleSize)]
					for range kills {
						f.kill()
						f.store.isAway.Store(isAway)
						for n := gone; n < size; n++ {
							f.start(n)
						}
						time.Sleep(300 * time.Millisecond)
						f.store.isAway.Store(false)
						time.Sleep(3 * time.Second)
					}
					found, wrong := f.find(random, streams)
					if share := float64(found) / float64(len(streams)); share < leastShare || wrong > 0 {
						t.Errorf("got %d of %d streams (%.2f), %d with a wrong version; want %.1f and none", found, len(streams), share, wrong, leastShare)
					}
				})
			})
		})
	}
}

// TestWritesAreBounded guards against a fleet that takes more of the store than it may, and against writes while a service has
// a single version.
func TestWritesAreBounded(t *testing.T) {
	for _, size := range []int{3, 29, 370} {
		synctest.Test(t, func(t *testing.T) {
			const length = 20
			random := rand.New(rand.NewPCG(1, 1))
			f := newFleet(size, versions)
			f.serve(random, length*time.Second)
			f.kill()
			writes, bytes := float64(f.store.writes.Load())/length, float64(f.store.bytes.Load())/length/float64(size)
			t.Logf("%d processes: %.1f writes/s, %.0f bytes/s a process, before the object's own encoding", size, writes, bytes)
			if writes > writeBudget {
				t.Errorf("%d processes make %.0f writes a second, want %d at most", size, writes, writeBudget)
			}
			single := newFleet(size, versions[:1])
			single.serve(random, length*time.Second)
			single.kill()
			if writes := single.store.writes.Load(); writes > 0 {
				t.Errorf("%d processes make %d writes with a single version, want none", size, writes)
			}
		})
	}
}

// slowStore is a store whose calls take storeDelay. It notes when each write began and its size, and when each stream was first stored.
type slowStore struct {
	*standin.Store
	began  []time.Time
	sizes  []int
	stored map[streamorigin.Key]time.Time
}

const storeDelay = 20 * time.Millisecond

func (s *slowStore) Put(ctx context.Context, key string, value []byte, version int64) (objectapi.Object, error) {
	s.began, s.sizes = append(s.began, time.Now()), append(s.sizes, len(value))
	time.Sleep(storeDelay)
	o, err := s.Store.Put(ctx, key, value, version)
	if err != nil {
		return o, err
	}
	records, err := decode(value)
	for _, record := range records {
		if _, ok := s.stored[record.Stream]; !ok {
			s.stored[record.Stream] = time.Now()
		}
	}
	return o, err
}

// delays is what measureDelays has measured.
type delays struct {
	// interval is the shortest time between two writes, worst how long after it began a stream was stored at the latest.
	interval, worst time.Duration
	// bytes is what was written on the wire, allowed what may be.
	bytes, allowed float64
}

// measureDelays lets streams begin at one process of a fleet.
func measureDelays(t *testing.T, size, rate int, streamTime, length time.Duration) delays {
	const moment = 10 * time.Microsecond
	store, registry := &slowStore{Store: standin.New(), stored: map[streamorigin.Key]time.Time{}}, streamorigin.NewRegistry()
	registry.ObserveVersions(versions, time.Now())
	others := make([]netip.Addr, size-1)
	for i := range others {
		others[i] = netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)})
	}
	a := &Archive{
		Store: store, Origins: registry, Self: netip.MustParseAddr("10.0.0.1"), IsLeader: func() bool { return false },
		Log: zap.NewNop(), Metrics: metrics.NewRegistry(),
		// As with a real clock, a moment passes between the look at the time and the write.
		Hosts: func() []netip.Addr {
			time.Sleep(moment)
			return others
		},
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		a.Run(ctx)
	}()
	begun, start := map[streamorigin.Key]time.Time{}, time.Now()
	for key := streamorigin.Key(1); time.Since(start) < length; key++ {
		time.Sleep(time.Second / time.Duration(rate))
		registry.ObserveVersions(versions, time.Now())
		begun[key] = time.Now()
		registry.Record(key, versions[key%2], time.Now())
		time.AfterFunc(streamTime, func() { registry.End(key, true, time.Now()) })
	}
	time.Sleep(5 * time.Second)
	cancel()
	<-done
	d := delays{interval: time.Hour, allowed: writeBurst + writeBytes*time.Since(start).Seconds() + streamBytes*float64(len(begun))}
	for key, at := range begun {
		stored, ok := store.stored[key]
		if !ok {
			t.Fatalf("stream %d was not stored", key)
		}
		d.worst = max(d.worst, stored.Sub(at))
	}
	// Every stored byte counts, with the size of the store's form.
	for i, began := range store.began {
		if i > 0 {
			d.interval = min(d.interval, began.Sub(store.began[i-1]))
		}
		d.bytes += wireFactor * float64(store.sizes[i])
	}
	t.Logf("%d writes, %v apart or more, the latest %v after its stream began; %.0f bytes on the wire of %.0f",
		len(store.began), d.interval, d.worst, d.bytes, d.allowed)
	return d
}

// TestOriginsAreStoredWithinAnInterval guards against writes that are due just after a look at the time and wait for the next one.
func TestOriginsAreStoredWithinAnInterval(t *testing.T) {
	for _, size := range []int{1, 3, 29, 45, 370} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := measureDelays(t, size, streamRate, streamTime, 30*time.Second)
				interval := max(minInterval, time.Duration(size)*fleetInterval)
				if most := interval + storeDelay + time.Millisecond; d.worst > most {
					t.Errorf("a stream was stored %v after it began, want %v or less", d.worst, most)
				}
				if d.interval < interval {
					t.Errorf("a write began %v after the one before it, want %v or more", d.interval, interval)
				}
			})
		})
	}
}

// TestRareStreamsAreStoredAtOnce guards against streams that wait for the next look though a write is due.
func TestRareStreamsAreStoredAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := measureDelays(t, 3, 3, streamTime, 30*time.Second)
		if most := 2*minLook + storeDelay; d.worst > most {
			t.Errorf("a stream was stored %v after it began, want %v or less", d.worst, most)
		}
	})
}

// TestBytesAreSpentEvenly guards against large writes that use up the bytes of those after them, and against more bytes than a
// process may write.
func TestBytesAreSpentEvenly(t *testing.T) {
	for _, row := range []struct {
		rate               int
		streamTime, length time.Duration
		most               time.Duration
	}{
		{6 * streamRate, streamTime, 30 * time.Second, 300 * time.Millisecond},
		{25 * streamRate, streamTime, 30 * time.Second, 300 * time.Millisecond},
		{4, 10 * time.Minute, 12 * time.Minute, 1500 * time.Millisecond},
		{streamRate, 4 * time.Minute, 6 * time.Minute, 2750 * time.Millisecond},
		{6 * streamRate, time.Minute, 2 * time.Minute, 1750 * time.Millisecond},
	} {
		t.Run(fmt.Sprintf("%d a second of %v", row.rate, row.streamTime), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := measureDelays(t, 3, row.rate, row.streamTime, row.length)
				if d.worst > row.most {
					t.Errorf("a stream was stored %v after it began, want %v or less", d.worst, row.most)
				}
				if d.bytes > d.allowed {
					t.Errorf("got %.0f bytes on the wire, want %.0f at most", d.bytes, d.allowed)
				}
			})
		})
	}
}

// TestStoredOriginsOfGoneHostsAreRemoved guards against objects that nobody removes after their host is gone.
func TestStoredOriginsOfGoneHostsAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3, versions)
		f.serve(rand.New(rand.NewPCG(1, 1)), time.Second)
		f.kill()
		gone := f.hosts[2]
		f.hosts = f.hosts[:2]
		f.start(0)
		time.Sleep(3 * sweepInterval)
		f.kill()
		if objects, err := f.store.List(context.Background(), keyPrefix); err != nil || len(objects) == 0 || slices.ContainsFunc(objects, func(o objectapi.Object) bool { return strings.HasPrefix(o.Key, keyOf(gone)) }) {
			t.Errorf("got %d objects, %v; want some, and none of the host that is gone", len(objects), err)
		}
	})
}

// TestOlderCopyDoesNotStopWrites guards against a process that writes nothing any more once the store came back from an older copy.
func TestOlderCopyDoesNotStopWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(1, 1))
		f := newFleet(1, versions)
		defer f.kill()
		f.serve(random, time.Second)
		older := f.store.Copy()
		f.serve(random, 2*time.Second)
		f.store.Restore(older)
		time.Sleep(time.Second)
		objects, err := f.store.List(context.Background(), keyOf(f.hosts[0]))
		if err != nil {
			t.Fatal(err)
		}
		stored := map[streamorigin.Key]bool{}
		for _, o := range objects {
			records, err := decode(o.Value)
			if err != nil {
				t.Fatal(err)
			}
			for _, record := range records {
				stored[record.Stream] = true
			}
		}
		for _, b := range f.running {
			if !stored[b.key] {
				t.Fatalf("%d streams are stored, one of the %d that run is not", len(stored), len(f.running))
			}
		}
	})
}

// TestListDoesNotReopenStreams guards against streams that have ended whole and are written as open again, because a list shows a
// process its own objects.
func TestListDoesNotReopenStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, versions)
		defer f.kill()
		p := f.processes[0]
		p.registry.Record(1, versions[0], time.Now())
		p.registry.Record(2, versions[1], time.Now())
		time.Sleep(time.Second)
		p.registry.End(1, true, time.Now())
		p.archive.Find(context.Background(), 99)
		if got := p.registry.OpenRecords(time.Now()); len(got) != 1 {
			t.Errorf("got %v as open, want only stream 2", got)
		}
	})
}

// TestNoListsInVain guards against lists while services have a single version, or for a search that has ended.
func TestNoListsInVain(t *testing.T) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	for _, row := range []struct {
		versions []streamorigin.Origin
		ctx      context.Context
	}{{versions[:1], context.Background()}, {versions, ended}} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(3, row.versions)
			defer f.kill()
			for range 100 {
				time.Sleep(10 * time.Millisecond)
				for _, p := range f.processes {
					p.archive.Find(row.ctx, 99)
				}
			}
			if lists := f.store.lists.Load(); lists > 0 {
				t.Errorf("got %d lists with %d versions", lists, len(row.versions))
			}
		})
	}
}

// TestReadsWhileStoreIsAwayAreBounded guards against a large fleet that takes a store in trouble for its reads alone.
func TestReadsWhileStoreIsAwayAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size, seconds, most = 370, 10, 400
		f := newFleet(size, versions)
		f.kill()
		f.store.isAway.Store(true)
		f.store.reads.Store(0)
		for n := range size {
			f.start(n)
		}
		time.Sleep(seconds * time.Second)
		f.kill()
		if got := f.store.reads.Load() / seconds; got > most {
			t.Errorf("got %d reads a second of %d processes, want %d at most", got, size, most)
		}
	})
}

// TestBusySmallFleet guards against streams that are not stored in time where few processes begin many.
func TestBusySmallFleet(t *testing.T) {
	const size, busy = 3, 6
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(1, 1))
		f := newFleet(size, versions)
		f.eachBegins = busy
		defer f.kill()
		f.serve(random, 25*time.Second)
		streams := slices.Clone(f.running)
		f.kill()
		for n := range size {
			f.start(n)
		}
		time.Sleep(time.Second)
		if found, wrong := f.find(random, streams); float64(found) < leastShare*float64(len(streams)) || wrong > 0 {
			t.Errorf("got %d of %d streams, %d wrong; want %.1f and none", found, len(streams), wrong, leastShare)
		}
	})
}

// FuzzDecode guards against stored values that can't be read and end the process, or that hold streams without end.
func FuzzDecode(f *testing.F) {
	value, err := encode([]streamorigin.Record{{Stream: 1, Origin: versions[0]}, {Stream: 2, Origin: versions[1]}})
	f.Add(value)
	f.Add([]byte(`[{"streams":"AA=="}]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		records, err := decode(data)
		if err != nil || len(records) == 0 {
			return
		}
		again, err := encode(records)
		if err != nil {
			t.Fatal(errors.ErrorStack(err))
		}
		if decoded, err := decode(again); err != nil || len(decoded) != len(records) {
			t.Errorf("got %d records, %v; want %d", len(decoded), err, len(records))
		}
	})
	if err != nil {
		f.Fatal(err)
	}
}
