package leasenotice

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/zap"

	"limpetwall/internal/transport/datagram"
)

type notice struct {
	version int64
	value   string
}

// startBroadcaster runs a broadcaster on a loopback address, and returns the notices that it
// receives.
func startBroadcaster(t *testing.T, host string, port uint16, others ...string) (*Broadcaster, chan notice) {
	t.Helper()
	group, err := datagram.Listen(netip.AddrPortFrom(netip.MustParseAddr(host), port))
	if err != nil {
		t.Fatal(err)
	}
	received := make(chan notice, 8)
	b := &Broadcaster{
		Group: group, Log: zap.NewNop(),
		Hosts: func() []netip.Addr {
			var out []netip.Addr
			for _, o := range others {
				out = append(out, netip.MustParseAddr(o))
			}
			return out
		},
		OnNotice: func(version int64, value []byte) { received <- notice{version, string(value)} },
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		b.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return b, received
}

func receive(t *testing.T, received chan notice) notice {
	t.Helper()
	select {
	case got := <-received:
		return got
	case <-time.After(5 * time.Second):
		t.Fatal("no notice received within 5s")
		return notice{}
	}
}

// TestNoticesReachAllPeersOnce announces two versions, the first one twice, with a datagram
// that is not a notice in between.
//
// Each version must arrive once: the holder announces at each step, whether or not it has
// written again. A datagram that does not decode must change nothing, whoever sends it.
func TestNoticesReachAllPeersOnce(t *testing.T) {
	a, _ := startBroadcaster(t, "127.0.0.41", 0, "127.0.0.42", "127.0.0.43")
	_, receivedB := startBroadcaster(t, "127.0.0.42", a.Group.Port)
	_, receivedC := startBroadcaster(t, "127.0.0.43", a.Group.Port)
	a.Announce(7, []byte(`{"holder":"a"}`))
	a.Announce(7, []byte(`{"holder":"a"}`))
	a.Group.Send([]byte("\xff\xffnot a notice"), a.Hosts())
	a.Announce(8, []byte(`{"holder":"a","sequence":2}`))
	for _, received := range []chan notice{receivedB, receivedC} {
		if got := receive(t, received); got != (notice{7, `{"holder":"a"}`}) {
			t.Errorf("first notice: got %+v, want version 7", got)
		}
		if got := receive(t, received); got != (notice{8, `{"holder":"a","sequence":2}`}) {
			t.Errorf("second notice: got %+v, want version 8", got)
		}
	}
}

// TestNoticeSizeIsBounded encodes a value that does not fit in a datagram, and decodes one
// that inflates beyond the limit: a notice must not use up a process's memory.
func TestNoticeSizeIsBounded(t *testing.T) {
	random := make([]byte, datagram.MaxSize)
	rand.Read(random)
	if _, err := encode(1, []byte(hex.EncodeToString(random))); err == nil {
		t.Error("a value that does not fit in a datagram was encoded")
	}
	data, err := encode(1, bytes.Repeat([]byte("a"), maxValueSize+1))
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := decode(data); err == nil {
		t.Error("a notice that inflates beyond the limit was decoded")
	}
	if _, _, err := decode(nil); err == nil {
		t.Error("a notice without a version was decoded")
	}
}

func FuzzDecode(f *testing.F) {
	data, err := encode(3, []byte(`{"holder":"a"}`))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		version, value, err := decode(data)
		if err == nil && (version <= 0 || len(value) > maxValueSize) {
			t.Errorf("decoded version %d with %d bytes, want a version above 0 within the size limit", version, len(value))
		}
	})
}
