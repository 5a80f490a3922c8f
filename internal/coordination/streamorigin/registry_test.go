package streamorigin

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

var (
	epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	old   = Origin{"s", "v1"}
	next  = Origin{"s", "v2"}
)

func TestDecide(t *testing.T) {
	both := func(Origin) bool { return true }
	none := func(Origin) bool { return false }
	anyService := func(string) bool { return true }
	confirmed := func(Origin) bool { return true }
	rows := []struct {
		name string
		know Knowledge
		want Verdict
	}{
		{"known and served", Knowledge{Origin: old, IsKnown: true, IsListed: both}, Resume},
		{"known and gone", Knowledge{Origin: old, IsKnown: true, IsFresh: true, IsCurrent: confirmed, IsListed: none}, Gone},
		{"known, not listed, the store has not confirmed the list", Knowledge{Origin: old, IsKnown: true, IsFresh: true, IsCurrent: func(Origin) bool { return false }, IsListed: none}, NotListed},
		{"known, not listed, the list is outdated", Knowledge{Origin: old, IsKnown: true, IsListed: none}, NotListed},
		{"known, the only version is another", Knowledge{Origin: old, IsKnown: true, IsFresh: true, IsCurrent: confirmed, HasSole: true, Sole: "v2", IsListed: func(o Origin) bool { return o == next }}, Gone},
		{"not known, a single version", Knowledge{HasSole: true, Sole: "v1", IsFresh: true, IsListed: both}, Resume},
		{"not known, a single version by an outdated list", Knowledge{HasSole: true, Sole: "v1", IsListed: both}, Unknown},
		{"not known, two versions", Knowledge{IsFresh: true, IsListed: both}, Unknown},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			row.know.Service, row.know.IsAllowed = "s", anyService
			if _, got := Decide(row.know); got != row.want {
				t.Errorf("got %v, want %v", got, row.want)
			}
		})
	}
	moved := Knowledge{Origin: old, IsKnown: true, IsFresh: true, IsListed: both, IsCurrent: confirmed, IsAllowed: func(string) bool { return false }}
	if _, got := Decide(moved); got != Gone {
		t.Errorf("a stream whose route no longer leads to its service: got %v, want %v", got, Gone)
	}
	moved.IsCurrent = func(Origin) bool { return false }
	if _, got := Decide(moved); got != NotListed {
		t.Errorf("a stream whose service the route may lead to by now: got %v, want %v", got, NotListed)
	}
}

// TestVersionListedWhileStoreIsAskedIsNotGone guards against a version that is said to be gone though its endpoints were listed before
// the store was asked for further changes.
func TestVersionListedWhileStoreIsAskedIsNotGone(t *testing.T) {
	isListed := false
	k := Knowledge{
		Origin: old, IsKnown: true, IsFresh: true, IsAllowed: func(string) bool { return true }, IsListed: func(Origin) bool { return isListed },
		IsCurrent: func(Origin) bool {
			isListed = true
			return true
		},
	}
	if _, got := Decide(k); got != Resume {
		t.Errorf("got %v, want %v", got, Resume)
	}
}

// TestVersionThatLeftIsRemembered guards against a stream of a version that has just left, of unknown origin, which goes on
// at the version that is left because that looks like the only one.
func TestVersionThatLeftIsRemembered(t *testing.T) {
	r := NewRegistry()
	r.BeginFollowing(epoch)
	r.ConfirmVersions(nil, r.Generation(), true, epoch)
	r.ObserveVersions([]Origin{old, next}, epoch)
	r.ObserveVersions([]Origin{next}, epoch.Add(Retention/2))
	if _, sole := r.SoleVersion("s", epoch.Add(Retention/2)); sole {
		t.Error("a version is the only one half a minute after another left")
	}
	r.ObserveVersions([]Origin{next}, epoch.Add(Retention))
	if version, sole := r.SoleVersion("s", epoch.Add(Retention+time.Second)); !sole || version != "v2" {
		t.Errorf("got %q, %v; want v2 as the only version", version, sole)
	}
	if _, sole := r.SoleVersion("other", epoch); sole {
		t.Error("a service without endpoints has an only version")
	}
}

// TestFirstListIsNotTheWholePast guards against a process that has seen one list of endpoints and takes its version for the only
// one that there was.
func TestFirstListIsNotTheWholePast(t *testing.T) {
	rows := []struct {
		name string
		// confirm is what is read of the stored versions.
		confirm  func(r *Registry)
		after    time.Duration
		wantSole bool
	}{
		{"nothing is read", func(*Registry) {}, time.Second, false},
		{"the stored versions are all", func(r *Registry) { r.ConfirmVersions([]Origin{next}, r.Generation(), true, epoch) }, time.Second, true},
		{"another version is stored", func(r *Registry) { r.ConfirmVersions([]Origin{old}, r.Generation(), true, epoch) }, time.Second, false},
		{"not all versions are stored", func(r *Registry) { r.ConfirmVersions([]Origin{next}, r.Generation(), false, epoch) }, time.Second, false},
		{"they were read before the list", func(r *Registry) {
			read := r.Generation()
			r.BeginFollowing(epoch)
			r.ConfirmVersions([]Origin{next}, read, true, epoch)
		}, time.Second, false},
		{"all changes were seen for as long as streams last", func(*Registry) {}, Retention + time.Second, true},
		{"a list after a gap, and nothing is read since", func(r *Registry) {
			r.ConfirmVersions([]Origin{next}, r.Generation(), true, epoch)
			r.BeginFollowing(epoch)
		}, time.Second, false},
		{"a list after a gap, and what others stored meanwhile", func(r *Registry) {
			r.ConfirmVersions([]Origin{next}, r.Generation(), true, epoch)
			r.BeginFollowing(epoch)
			r.ConfirmVersions([]Origin{next}, r.Generation(), false, epoch)
		}, time.Second, true},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			r := NewRegistry()
			r.BeginFollowing(epoch)
			row.confirm(r)
			now := epoch.Add(row.after)
			r.ObserveVersions([]Origin{next}, now)
			if _, got := r.SoleVersion("s", now); got != row.wantSole {
				t.Errorf("got %v, want %v", got, row.wantSole)
			}
		})
	}
}

// TestDroppedVersionIsNotForgotten guards against a service that seems to have one version because there was no room for another.
func TestDroppedVersionIsNotForgotten(t *testing.T) {
	r := NewRegistry()
	r.BeginFollowing(epoch)
	r.ConfirmVersions(nil, r.Generation(), true, epoch)
	for i := range MaxVersions {
		r.ObserveVersions([]Origin{{fmt.Sprint("service ", i), "v1"}}, epoch)
	}
	r.ObserveVersions([]Origin{{"service 0", "v2"}}, epoch)
	if version, sole := r.SoleVersion("service 0", epoch); sole {
		t.Errorf("got %q as the only version, though v2 was dropped", version)
	}
}

// TestRecordsWaitForASecondVersion guards against records that are sent although all streams can go on anywhere, and
// against streams from before a second version appeared that nobody knows.
func TestRecordsWaitForASecondVersion(t *testing.T) {
	r := NewRegistry()
	r.Record(1, old, epoch)
	r.Record(2, old, epoch.Add(Retention))
	now := epoch.Add(Retention + time.Second)
	if got := r.TakePending(10, now); len(got) != 0 {
		t.Errorf("got %v with a single version, want none", got)
	}
	select {
	case <-r.Ready():
		t.Error("records are ready with a single version")
	default:
	}
	r.ObserveVersions([]Origin{old, next}, now)
	select {
	case <-r.Ready():
	default:
		t.Error("no record is ready once there are two versions")
	}
	if got := r.TakePending(10, now); len(got) != 1 || got[0] != (Record{2, old}) {
		t.Errorf("got %v, want the record of the stream that is not too old", got)
	}
	if got := r.TakePending(10, now); len(got) != 0 {
		t.Errorf("got %v a second time", got)
	}
}

// TestRegistryIsBounded guards against callers that make a process hold any number of origins, and against forgetting
// those of streams that may still be taken up.
func TestRegistryIsBounded(t *testing.T) {
	r := NewRegistry()
	for i := range 5 * maxOrigins {
		r.Record(Key(i+1), old, epoch)
		r.ObserveVersions([]Origin{{"s", fmt.Sprint(i)}}, epoch)
	}
	if n := len(r.current) + len(r.previous); n > 2*maxOrigins || len(r.pending) > maxPending || len(r.versions) > MaxVersions {
		t.Errorf("%d origins, %d pending records, %d versions are held", n, len(r.pending), len(r.versions))
	}
	r = NewRegistry()
	r.Record(1, old, epoch)
	r.Record(2, next, epoch.Add(Retention))
	r.Record(3, next, epoch.Add(2*Retention-time.Second))
	if o, ok := r.Find(1); !ok || o != old {
		t.Errorf("got %v, %v; want the origin of a stream within Retention", o, ok)
	}
	r.Record(4, next, epoch.Add(2*Retention))
	if _, ok := r.Find(1); ok {
		t.Error("an origin is held for more than two generations")
	}
}

// TestFirstOriginStays guards against an origin that a later attempt of the same stream replaces.
func TestFirstOriginStays(t *testing.T) {
	r := NewRegistry()
	r.Record(1, old, epoch)
	r.Merge(1, next, epoch)
	if o, _ := r.Find(1); o != old {
		t.Errorf("got %v, want %v", o, old)
	}
	if KeyOf("a", "bc") == KeyOf("ab", "c") || KeyOf("club", "1") == KeyOf("other", "1") {
		t.Error("streams of two customers have one key")
	}
}

func BenchmarkRecord(b *testing.B) {
	r := NewRegistry()
	r.ObserveVersions([]Origin{old, next}, epoch)
	b.ReportAllocs()
	for i := range b.N {
		r.Record(KeyOf("club", "9c41d07be2a35f68")+Key(i), old, epoch)
		if i%40 == 0 {
			r.TakePending(40, epoch)
		}
	}
}

// TestOpenStreamKeepsItsOrigin guards against a stream whose stored origin differs from the remembered one.
func TestOpenStreamKeepsItsOrigin(t *testing.T) {
	r := NewRegistry()
	r.Merge(1, old, epoch)
	r.Record(1, next, epoch)
	r.ObserveVersions([]Origin{old, next}, epoch)
	if got := r.OpenRecords(epoch); len(got) != 1 || got[0].Origin != old {
		t.Errorf("got %v as open, want the origin %v that is remembered", got, old)
	}
}

// TestRecordedVersionIsForgotten guards against a version that is taken for recorded though other processes may have removed it since, and
// against one that is not though it is in use.
func TestRecordedVersionIsForgotten(t *testing.T) {
	rows := []struct {
		name string
		play func(r *Registry, now time.Time)
		want bool
	}{
		{"it stays listed", func(r *Registry, now time.Time) {
			for i := range 2 * Retention / time.Second {
				r.ObserveVersions([]Origin{old}, now.Add(i*time.Second))
			}
		}, true},
		{"it comes back soon", func(r *Registry, now time.Time) { r.ObserveVersions([]Origin{old}, now.Add(recordedFor)) }, true},
		{"it comes back late", func(r *Registry, now time.Time) { r.ObserveVersions([]Origin{old}, now.Add(recordedFor+time.Second)) }, false},
		{"it comes back late, and others have heard of it", func(r *Registry, now time.Time) {
			r.MergeVersions([]VersionAge{{old, 0}}, now.Add(recordedFor))
			r.ObserveVersions([]Origin{old}, now.Add(recordedFor+time.Second))
		}, false},
		{"it comes back after it was forgotten", func(r *Registry, now time.Time) {
			r.Versions(now.Add(2 * Retention))
			r.ObserveVersions([]Origin{old}, now.Add(2*Retention))
		}, false},
		{"endpoints are listed anew", func(r *Registry, now time.Time) { r.BeginFollowing(now) }, true},
		{"endpoints are listed anew after a long gap", func(r *Registry, now time.Time) {
			r.followedAt = now.Add(-recordedFor - time.Second)
			r.BeginFollowing(now)
		}, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			r, now := NewRegistry(), time.Now()
			r.BeginFollowing(now)
			r.RecordFollowed()
			r.ObserveVersions([]Origin{old, next}, now)
			r.SetRecorded([]Origin{old})
			changed := r.VersionsChanged()
			row.play(r, now)
			if got := r.IsRecorded(old); got != row.want {
				t.Errorf("got %v, want %v", got, row.want)
			}
			if r.IsRecorded(next) {
				t.Error("a version that is not in the record is taken for recorded")
			}
			select {
			case <-changed:
			default:
				if !row.want {
					t.Error("nobody is told to read the record")
				}
			}
		})
	}
}

// TestRecordsAreSentWhileStoreIsAway guards against streams of a single version that nobody can take up while the store, which would have
// to confirm that there is no other, does not answer.
func TestRecordsAreSentWhileStoreIsAway(t *testing.T) {
	r := NewRegistry()
	isReady := func() bool {
		select {
		case <-r.Ready():
			return true
		default:
			return false
		}
	}
	r.Record(1, old, epoch)
	r.Record(2, old, epoch)
	r.End(2, true, epoch)
	if got := r.TakePending(10, epoch); len(got) > 0 || isReady() {
		t.Fatalf("got %v to send, want none while the store answers", got)
	}
	r.SetStoreAway(true)
	if got := r.TakePending(10, epoch); !isReady() || !slices.Equal(got, []Record{{1, old}}) {
		t.Errorf("got %v to send, want the stream that is not whole", got)
	}
	r.Record(3, old, epoch)
	if got := r.TakePending(10, epoch); !isReady() || !slices.Equal(got, []Record{{3, old}}) {
		t.Errorf("got %v to send, want the stream that began meanwhile", got)
	}
	r.SetStoreAway(false)
	r.Record(4, old, epoch)
	if got := r.TakePending(10, epoch); len(got) > 0 {
		t.Errorf("got %v to send, want none once the store answers again", got)
	}
	r.ObserveVersions([]Origin{next}, epoch)
	if got := r.TakePending(10, epoch); !slices.Equal(got, []Record{{2, old}, {4, old}}) {
		t.Errorf("got %v to send once there are two versions, want those not yet sent", got)
	}
}

// TestRecordsAreSentWhileRoutesAreNotSettled guards against streams of a single version that nobody can take up after a route was led to
// another service.
func TestRecordsAreSentWhileRoutesAreNotSettled(t *testing.T) {
	r := NewRegistry()
	r.SetStreamTargets(1)
	r.SetSettledTargets(1)
	r.Record(1, old, epoch)
	if r.NeedsStoredOrigins(epoch) || len(r.OpenRecords(epoch)) > 0 || len(r.TakePending(10, epoch)) > 0 {
		t.Fatal("origins are sent or stored while the routes are those of the record")
	}
	r.SetStreamTargets(2)
	if got := r.OpenRecords(epoch); !r.NeedsStoredOrigins(epoch) || !slices.Equal(got, []Record{{1, old}}) {
		t.Errorf("got %v to store, want the open stream", got)
	}
	if got := r.TakePending(10, epoch); !slices.Equal(got, []Record{{1, old}}) {
		t.Errorf("got %v to send, want the open stream", got)
	}
	r.SetSettledTargets(2)
	if r.NeedsStoredOrigins(epoch) {
		t.Error("origins are stored though the routes are those of the record again")
	}
}
