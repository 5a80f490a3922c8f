package contentreport

import (
	"net/netip"
	"slices"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"limpetwall/internal/coordination/contextcache"
	"limpetwall/internal/protocol/wire"
	"limpetwall/internal/transport/datagram"
)

// Upper bounds in bytes of the encoded size of a report without its address, of a change without
// its ID, and of a string's header in the tables of salts and models. They cover indices, token
// counts, numbers and field keys.
const (
	reportOverhead = 40
	changeOverhead = 24
	stringOverhead = 3
)

// errInvalidReport is returned when a message decodes but its values make no valid report.
const errInvalidReport = errors.ConstError("invalid content report")

// message is one datagram that is being filled, with an upper bound of its encoded size.
type message struct {
	wire.ContentReport
	size int
}

// encode packs reports into messages of at most datagram.MaxSize bytes. A report is split where a
// message is full.
func encode(reports []contextcache.Report) ([][]byte, error) {
	var out [][]byte
	m := &message{}
	flush := func() error {
		data, err := proto.Marshal(&m.ContentReport)
		if err == nil && len(m.Contents) > 0 {
			out = append(out, data)
		}
		m = &message{}
		return errors.Trace(err)
	}
	for _, r := range reports {
		if !m.beginReport(r) {
			if err := flush(); err != nil {
				return out, err
			}
			m.beginReport(r)
		}
		for _, c := range r.Changes {
			if m.addChange(r, c) {
				continue
			}
			if err := flush(); err != nil {
				return out, err
			}
			m.beginReport(r)
			m.addChange(r, c)
		}
	}
	return out, flush()
}

// beginReport adds a report without changes; it returns false if the report does not fit.
func (m *message) beginReport(r contextcache.Report) bool {
	size := reportOverhead + len(r.Address)
	if m.size+size > datagram.MaxSize {
		return false
	}
	m.size += size
	m.Contents = append(m.Contents, &wire.Contents{Address: r.Address, Epoch: r.Epoch, AsOfMs: r.AsOf, Next: r.Next})
	return true
}

// addChange adds a change to the last report; it returns false if the change does not fit.
func (m *message) addChange(r contextcache.Report, c contextcache.Change) bool {
	size := changeOverhead + len(c.Segment.ID)
	salt, model := slices.Index(m.Salts, c.Segment.Salt), slices.Index(m.Models, c.Model)
	if salt < 0 {
		size += stringOverhead + len(c.Segment.Salt)
	}
	if model < 0 {
		size += stringOverhead + len(c.Model)
	}
	if m.size+size > datagram.MaxSize {
		return false
	}
	if salt < 0 {
		salt, m.Salts = len(m.Salts), append(m.Salts, c.Segment.Salt)
	}
	if model < 0 {
		model, m.Models = len(m.Models), append(m.Models, c.Model)
	}
	m.size += size
	tokens := c.Tokens
	if !c.Added {
		tokens = 0
	}
	last := m.Contents[len(m.Contents)-1]
	last.Changes = append(last.Changes, &wire.ContentChange{
		Salt: uint32(salt), Model: uint32(model), Id: c.Segment.ID, Tokens: uint32(max(0, tokens)), BeforeNext: uint64(max(0, r.Next-c.Number)),
	})
	return true
}

func decode(data []byte) ([]contextcache.Report, error) {
	var m wire.ContentReport
	if err := proto.Unmarshal(data, &m); err != nil {
		return nil, errors.Trace(err)
	}
	out := make([]contextcache.Report, 0, len(m.GetContents()))
	for i, contents := range m.GetContents() {
		r, err := decodeContents(&m, contents)
		if err != nil {
			return nil, errors.Annotatef(err, "contents %d", i)
		}
		out = append(out, r)
	}
	return out, nil
}

func decodeContents(m *wire.ContentReport, contents *wire.Contents) (contextcache.Report, error) {
	r := contextcache.Report{Address: contents.GetAddress(), Epoch: contents.GetEpoch(), AsOf: contents.GetAsOfMs(), Next: contents.GetNext()}
	if _, err := netip.ParseAddrPort(r.Address); err != nil {
		return r, errors.WithType(err, errInvalidReport)
	}
	if r.AsOf < 0 || r.Next < 0 {
		return r, errors.Annotatef(errInvalidReport, "as of %d, next %d", r.AsOf, r.Next)
	}
	for i, c := range contents.GetChanges() {
		if int(c.GetSalt()) >= len(m.GetSalts()) || int(c.GetModel()) >= len(m.GetModels()) || c.GetId() == "" || c.GetBeforeNext() > uint64(r.Next) {
			return r, errors.Annotatef(errInvalidReport, "change %d", i)
		}
		r.Changes = append(r.Changes, contextcache.Change{
			Number: r.Next - int64(c.GetBeforeNext()), Added: c.GetTokens() > 0,
			Segment:     contextcache.SegmentKey{Salt: m.GetSalts()[c.GetSalt()], ID: c.GetId()},
			SegmentInfo: contextcache.SegmentInfo{Tokens: int(c.GetTokens()), Model: m.GetModels()[c.GetModel()]},
		})
	}
	return r, nil
}
