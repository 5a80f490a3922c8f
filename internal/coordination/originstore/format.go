package originstore

import (
	"encoding/binary"
	"encoding/json"
	"slices"

	"github.com/juju/errors"

	"limpetwall/internal/coordination/streamorigin"
)

// keyBytes is the size of a stream's key.
const keyBytes = 8

// group is the stored form of the streams that one software version began.
type group struct {
	Service string `json:"service"`
	Version string `json:"version"`
	// Streams holds their keys, keyBytes each.
	Streams []byte `json:"streams"`
}

// encode returns the stored form of records.
func encode(records []streamorigin.Record) ([]byte, error) {
	var groups []group
	positions := map[streamorigin.Origin]int{}
	for _, record := range records {
		position, ok := positions[record.Origin]
		if !ok {
			position = len(groups)
			positions[record.Origin] = position
			groups = append(groups, group{Service: record.Origin.Service, Version: record.Origin.Version})
		}
		groups[position].Streams = binary.LittleEndian.AppendUint64(groups[position].Streams, uint64(record.Stream))
	}
	data, err := json.Marshal(groups)
	return data, errors.Trace(err)
}

// decode returns the records of a stored value, streamorigin.MaxOpen at most.
func decode(data []byte) ([]streamorigin.Record, error) {
	var groups []group
	if err := json.Unmarshal(data, &groups); err != nil {
		return nil, errors.Annotate(err, "stored origins of streams")
	}
	var out []streamorigin.Record
	for _, g := range groups {
		if len(g.Streams)%keyBytes != 0 {
			return nil, errors.Errorf("stored origins of streams: %d bytes of keys of version %q", len(g.Streams), g.Version)
		}
		for key := range slices.Chunk(g.Streams, keyBytes) {
			if len(out) == streamorigin.MaxOpen {
				return out, nil
			}
			out = append(out, streamorigin.Record{
				Stream: streamorigin.Key(binary.LittleEndian.Uint64(key)), Origin: streamorigin.Origin{Service: g.Service, Version: g.Version},
			})
		}
	}
	return out, nil
}
