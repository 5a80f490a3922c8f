package originstore

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"limpetwall/internal/coordination/streamorigin"
	"limpetwall/internal/transport/objectapi"
)

const (
	// keyPrefix is the prefix of the objects' keys; the process's host follows.
	keyPrefix = "streams.origins."
	// callTimeout bounds one call to the store.
	callTimeout = 700 * time.Millisecond
	// minInterval is the shortest time between two writes of a process, and fleetInterval the mean time between those of all
	// processes: 182 a second. Those that follow a start of all at once fit into 200 then, half of what a store takes.
	minInterval   = 200 * time.Millisecond
	fleetInterval = 5500 * time.Microsecond
	// minLook is how often a process that may write looks for streams that began, and lookTime what it adds for each open stream
	// and each host: a look goes over all of them, and must not take a share of a core that matters.
	minLook  = 25 * time.Millisecond
	lookTime = 100 * time.Microsecond
	// writeBytes is what a process writes at most, in bytes per second on the wire, with streamBytes more for each stream that
	// begins. writeBurst is what it may write at once, and wireFactor the size on the wire of a byte of the value: the store's form
	// encodes it once more. A write waits maxWait for bytes at most.
	writeBytes  = 2 << 10
	streamBytes = 150
	writeBurst  = 8 << 10
	wireFactor  = 1.35
	maxWait     = 4 * time.Second
	// minListInterval is the shortest time between two lists of a process. Each list holds the origins of all processes, so
	// the interval grows with the square of their number: all lists together are some 2 MB a second. Fleets of more than
	// maxListHosts rely on the objects that each process reads at its start.
	minListInterval  = 100 * time.Millisecond
	listIntervalUnit = time.Millisecond
	maxListHosts     = 40
	// readers is the number of other processes that answer for the streams of each host.
	readers = 3
	// minReadRetry is the shortest delay after a read that the store has not answered.
	minReadRetry = 400 * time.Millisecond
	// learnTime is how long after its start a process looks for hosts that it has just learned of and answers for.
	learnTime = 30 * time.Second
	// sweepInterval is how often objects of hosts that are gone are looked for.
	sweepInterval = time.Minute
)

// Archive keeps the origins of one process's streams. Set its fields before Run.
type Archive struct {
	Store   objectapi.API
	Origins *streamorigin.Registry
	// Self is the host of this process, Hosts lists those of the others.
	Self  netip.Addr
	Hosts func() []netip.Addr
	// IsLeader reports whether this process is the one that removes the objects of hosts that are gone.
	IsLeader func() bool
	Log      *zap.Logger
	Metrics  metrics.Registry

	// all holds all open streams, as of its last write, and recent those that began since: most writes are small. Only Run's
	// goroutine uses these and what follows.
	all, recent object
	budget      budget
	// nextWrite is the earliest time of the next write.
	nextWrite time.Time
	// orphans are the objects that the last sweep found without a host.
	orphans map[string]bool

	mu sync.Mutex
	// list is the list of all objects that is being read, nil if none is; listedAt is when the last one began.
	list     *pendingList
	listedAt time.Time
}

// object is an object of this process in the store.
type object struct {
	key     string
	version int64
	// streams are those that it holds.
	streams map[streamorigin.Key]bool
	// isRestored is set once what the host's last process wrote was read.
	isRestored bool
}

// pendingList is a call that several searches wait for.
type pendingList struct{ done chan struct{} }

// Run keeps the origins until ctx ends.
func (a *Archive) Run(ctx context.Context) {
	timer := time.NewTimer(minInterval)
	defer timer.Stop()
	a.all, a.recent, a.budget = object{key: keyOf(a.Self)}, object{key: recentKeyOf(a.Self)}, newBudget(time.Now())
	isRead, era := false, a.Store.Eras().Current()
	started, nextRead := time.Now(), time.Time{}
	lastSweep, answersFor, open := started, map[netip.Addr]bool{}, 0
	for {
		now, hosts := time.Now(), a.Hosts()
		if current := a.Store.Eras().Current(); current != era {
			// An older copy of the store lacks the newest streams.
			isRead, era = false, current
		}
		if canRead := !now.Before(nextRead); canRead && (!isRead || now.Sub(started) < learnTime) {
			isRead = isRead || a.readOwn(ctx)
			if !isRead || !a.readAssigned(ctx, hosts, answersFor) {
				nextRead = now.Add(max(minReadRetry, time.Duration(len(hosts))*fleetInterval))
			}
		}
		if isRead && !now.Before(a.nextWrite) {
			records := a.Origins.OpenRecords(now)
			open = len(records)
			isRead = a.writeChanges(ctx, records, len(hosts)+1)
		}
		if now.Sub(lastSweep) >= sweepInterval && a.IsLeader() {
			lastSweep = now
			a.sweep(ctx)
		}
		timer.Reset(a.nextLook(time.Now(), open+len(hosts)))
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
	}
}

// nextLook returns the time until Run looks at the store's eras, at the hosts and, if a write is due, at the open streams again; size
// is the number of streams and hosts.
func (a *Archive) nextLook(now time.Time, size int) time.Duration {
	if due := a.nextWrite.Sub(now); due > 0 {
		return min(due, minInterval)
	}
	if !a.Origins.NeedsStoredOrigins(now) {
		return minInterval
	}
	return min(minLook+time.Duration(size)*lookTime, minInterval)
}

func keyOf(host netip.Addr) string { return keyPrefix + host.String() }

func recentKeyOf(host netip.Addr) string { return keyOf(host) + ".recent" }

// readOwn reads the objects of this host's last process. It returns false if the store does not answer: until then nothing is
// written, as that would replace them.
func (a *Archive) readOwn(ctx context.Context) bool {
	for _, own := range []*object{&a.all, &a.recent} {
		o, records, err := a.read(ctx, own.key)
		if err != nil {
			return false
		}
		if own.version, own.streams = o.Version, nil; !own.isRestored {
			a.Origins.Restore(records, time.Now())
			own.isRestored = true
		}
	}
	return true
}

// read reads an object, one without a version if there is none.
func (a *Archive) read(ctx context.Context, key string) (objectapi.Object, []streamorigin.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	o, err := a.Store.Get(ctx, key)
	if errors.Is(err, objectapi.ErrNotFound) {
		return objectapi.Object{}, nil, nil
	}
	if err != nil {
		return objectapi.Object{}, nil, err
	}
	records := a.decode(o)
	a.Log.Info("stored origins of streams read", zap.String("key", key), zap.Int("streams", len(records)))
	return o, records, nil
}

// decode returns the records of an object, none if it can't be read.
func (a *Archive) decode(o objectapi.Object) []streamorigin.Record {
	records, err := decode(o.Value)
	if err != nil {
		a.Log.Error("stored origins of streams can't be read", zap.String("key", o.Key), zap.Error(err))
	}
	return records
}

// readAssigned reads the objects of the hosts that this process answers for, as their own processes may not come back, once for
// each host. Hosts are learned one after the other. It returns false if the store does not answer.
func (a *Archive) readAssigned(ctx context.Context, hosts []netip.Addr, done map[netip.Addr]bool) bool {
	for _, host := range hosts {
		if done[host] {
			continue
		}
		if isReader(a.Self, host, hosts) {
			for _, key := range []string{keyOf(host), recentKeyOf(host)} {
				_, records, err := a.read(ctx, key)
				if err != nil {
					return false
				}
				a.Origins.MergeStored(records, time.Now())
			}
		}
		done[host] = true
	}
	return true
}

// isReader reports whether a process answers for the streams of another host: those of the readers highest rendezvous hashes do.
func isReader(self, host netip.Addr, others []netip.Addr) bool {
	hash := func(reader netip.Addr) uint64 {
		pair := append(reader.AsSlice(), host.AsSlice()...)
		return xxhash.Sum64(pair)
	}
	own, higher := hash(self), 0
	for _, other := range others {
		if other != host && hash(other) > own {
			if higher++; higher == readers {
				return false
			}
		}
	}
	return true
}

// writeChanges writes what is missing in the store. It returns false if the objects must be read again before the next write.
func (a *Archive) writeChanges(ctx context.Context, records []streamorigin.Record, processes int) bool {
	missing := 0
	var recent []streamorigin.Record
	for _, record := range records {
		if a.all.streams[record.Stream] {
			continue
		}
		recent = append(recent, record)
		if !a.recent.streams[record.Stream] {
			missing++
		}
	}
	target, content := &a.recent, recent
	switch {
	case len(records) == 0 && len(a.recent.streams) > 0:
	case len(records) == 0 && len(a.all.streams) > 0, missing > 0 && a.budget.paysForLarge(len(recent), len(records)):
		target, content = &a.all, records
	case missing == 0:
		return true
	}
	began, interval := time.Now(), max(minInterval, time.Duration(processes)*fleetInterval)
	a.nextWrite = began.Add(interval)
	size, err := a.write(ctx, target, content)
	if err != nil {
		metrics.GetOrRegisterCounter("gateway.streams.origin_writes_failed", a.Metrics).Inc(1)
		return false
	}
	a.nextWrite = a.budget.charge(began, time.Now(), size, missing, target == &a.all, interval)
	metrics.GetOrRegisterCounter("gateway.streams.origin_writes", a.Metrics).Inc(1)
	metrics.GetOrRegisterGauge("gateway.streams.origins_stored", a.Metrics).Update(int64(len(records)))
	return true
}

// write writes an object, and returns the size of its value.
func (a *Archive) write(ctx context.Context, to *object, records []streamorigin.Record) (size int, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	value, err := encode(records)
	if err != nil {
		return 0, err
	}
	o, err := a.Store.Put(ctx, to.key, value, to.version)
	if err != nil {
		return 0, err
	}
	to.version, to.streams = o.Version, make(map[streamorigin.Key]bool, len(records))
	for _, record := range records {
		to.streams[record.Stream] = true
	}
	return len(value), nil
}

// Find searches the objects of all processes for the origin of a stream.
func (a *Archive) Find(ctx context.Context, stream streamorigin.Key) (streamorigin.Origin, bool) {
	if ctx.Err() != nil {
		return streamorigin.Origin{}, false
	}
	list := a.startList()
	if list == nil {
		return streamorigin.Origin{}, false
	}
	select {
	case <-list.done:
		return a.Origins.Find(stream)
	case <-ctx.Done():
		return streamorigin.Origin{}, false
	}
}

// startList returns the list that is being read, or begins one; nil if the last one is too recent or the fleet too large.
func (a *Archive) startList() *pendingList {
	hosts := len(a.Hosts())
	if hosts > maxListHosts || !a.Origins.NeedsStoredOrigins(time.Now()) {
		return nil
	}
	interval := max(minListInterval, time.Duration(hosts*hosts)*listIntervalUnit)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.list != nil {
		return a.list
	}
	now := time.Now()
	if now.Sub(a.listedAt) < interval {
		return nil
	}
	a.list, a.listedAt = &pendingList{make(chan struct{})}, now
	go a.readAll(a.list)
	return a.list
}

// readAll reads the objects of all processes. It belongs to no request: several wait for it.
func (a *Archive) readAll(list *pendingList) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	objects, err := a.Store.List(ctx, keyPrefix)
	count := 0
	for _, o := range objects {
		records := a.decode(o)
		a.Origins.MergeStored(records, time.Now())
		count += len(records)
	}
	a.Log.Info("stored origins of streams read", zap.Int("objects", len(objects)), zap.Int("streams", count), zap.Error(err))
	metrics.GetOrRegisterCounter("gateway.streams.origin_lists", a.Metrics).Inc(1)
	a.mu.Lock()
	a.list = nil
	a.mu.Unlock()
	close(list.done)
}

// sweep removes the objects of hosts that have been gone for two sweeps.
func (a *Archive) sweep(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	objects, err := a.Store.List(ctx, keyPrefix)
	if err != nil {
		return
	}
	present := map[string]bool{}
	for _, host := range append(a.Hosts(), a.Self) {
		present[keyOf(host)], present[recentKeyOf(host)] = true, true
	}
	orphans := map[string]bool{}
	for _, o := range objects {
		switch {
		case present[o.Key]:
		case a.orphans[o.Key]:
			err := a.Store.Delete(ctx, o.Key, o.Version)
			a.Log.Info("stored origins of a host that is gone removed", zap.String("key", o.Key), zap.Error(err))
		default:
			orphans[o.Key] = true
		}
	}
	a.orphans = orphans
}
