// Package leasenotice sends what the holder of a lease has written to the platform's store
// to the processes that would otherwise poll the store for it. When a hundred processes
// polled four times a second while engines loaded weights, their reads were half of all
// calls to the store; a datagram arrives sooner and costs the store nothing. A lost notice
// is made up for by the next one, and a process that receives none reads the store, so
// correctness does not depend on notices.
package leasenotice

import (
	"bytes"
	"compress/flate"
	"context"
	"io"
	"net"
	"net/netip"
	"sync"

	"github.com/juju/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"limpetwall/internal/protocol/wire"
	"limpetwall/internal/transport/datagram"
)

// maxValueSize limits the decompressed size of a notice's value, in bytes. Compressed, the
// IDs of about 140 engines fit in a datagram.
const maxValueSize = 64 << 10

// errTooLarge is returned when a value does not fit in a datagram, or is longer than
// maxValueSize when it is decompressed.
const errTooLarge = errors.ConstError("value of lease notice is too large")

// Broadcaster sends lease notices to the other processes and receives theirs. Its fields
// must be set before Run.
type Broadcaster struct {
	Group *datagram.Socket
	// Hosts lists the other processes.
	Hosts func() []netip.Addr
	// OnNotice is called with each notice received.
	OnNotice func(version int64, value []byte)
	Log      *zap.Logger

	mu sync.Mutex
	// lastSent is the highest version announced.
	lastSent int64
}

// Announce sends a version of the lease's object to all other processes. It skips a
// version that is not newer than the last one announced.
func (b *Broadcaster) Announce(version int64, value []byte) {
	if !b.markSent(version) {
		return
	}
	data, err := encode(version, value)
	if err != nil {
		b.Log.Warn("cannot encode lease notice; it is not sent", zap.Int64("version", version), zap.Int("bytes", len(value)), zap.Error(err))
		return
	}
	hosts := b.Hosts()
	failed := b.Group.Send(data, hosts)
	b.Log.Debug("lease notice sent", zap.Int64("version", version), zap.Int("hosts", len(hosts)), zap.Int("not_sent", failed))
}

// markSent records version as announced, and reports whether it is newer than all before.
func (b *Broadcaster) markSent(version int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if version <= b.lastSent {
		return false
	}
	b.lastSent = version
	return true
}

// Run receives notices until ctx ends.
func (b *Broadcaster) Run(ctx context.Context) {
	b.Group.Receive(ctx, func(data []byte, from net.Addr) {
		version, value, err := decode(data)
		if err != nil {
			b.Log.Warn("cannot decode lease notice", zap.Stringer("from", from), zap.Int("bytes", len(data)), zap.Error(err))
			return
		}
		b.OnNotice(version, value)
	})
}

func encode(version int64, value []byte) ([]byte, error) {
	var deflated bytes.Buffer
	w, err := flate.NewWriter(&deflated, flate.DefaultCompression)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if _, err := w.Write(value); err != nil {
		return nil, errors.Trace(err)
	}
	if err := w.Close(); err != nil {
		return nil, errors.Trace(err)
	}
	data, err := proto.Marshal(&wire.LeaseNotice{Version: version, Value: deflated.Bytes()})
	if err == nil && len(data) > datagram.MaxSize {
		err = errTooLarge
	}
	return data, errors.Trace(err)
}

func decode(data []byte) (version int64, value []byte, err error) {
	var m wire.LeaseNotice
	if err := proto.Unmarshal(data, &m); err != nil {
		return 0, nil, errors.Trace(err)
	}
	if m.GetVersion() <= 0 {
		return 0, nil, errors.Errorf("version %d is not above 0", m.GetVersion())
	}
	value, err = io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(m.GetValue())), maxValueSize+1))
	if err == nil && len(value) > maxValueSize {
		err = errTooLarge
	}
	return m.GetVersion(), value, errors.Trace(err)
}
