// Package blockseal wraps a context block for its stay on a store host and
// verifies it on the way back. A store host, its links and its slots can all be
// wrong; only a block that opens here may reach an engine.
package blockseal

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"

	"github.com/juju/errors"

	"limpetwall/internal/state/contextkey"
)

// ErrInvalidBlock tells that bytes are not the sealed block that was asked for.
const ErrInvalidBlock = errors.ConstError("block does not verify")

const (
	magic      = 0x4c574b31 // "LWK1"
	headerSize = 4 + contextkey.Size + 4
	macSize    = sha256.Size
)

// Overhead is the number of bytes that Seal adds.
const Overhead = headerSize + macSize

// Seal frames content: magic, key, length, content, HMAC-SHA256 under the
// customer's salt. The HMAC comes last, so a partly written block has none.
func Seal(salt []byte, key contextkey.Key, content []byte) []byte {
	out := make([]byte, 0, len(content)+Overhead)
	out = binary.BigEndian.AppendUint32(out, magic)
	out = append(out, key[:]...)
	out = binary.BigEndian.AppendUint32(out, uint32(len(content)))
	out = append(out, content...)
	return newMAC(salt, out).Sum(out)
}

// Open returns the content of a sealed block, or ErrBroken.
//
// The key inside catches another block's bytes (a reused slot, a misdirected
// read); it names the whole prefix, customer and weight version, so bytes that
// carry the right key are the right context whenever they were written. Length
// and HMAC catch torn writes, reads that race a free, and flipped bits; the salt
// keeps a block of another customer from verifying even under a forged key.
func Open(salt []byte, key contextkey.Key, sealed []byte) ([]byte, error) {
	if len(sealed) < Overhead {
		return nil, errors.Annotatef(ErrInvalidBlock, "%d bytes", len(sealed))
	}
	if binary.BigEndian.Uint32(sealed) != magic {
		return nil, errors.Annotate(ErrInvalidBlock, "no block header")
	}
	if !hmac.Equal(sealed[4:4+contextkey.Size], key[:]) {
		return nil, errors.Annotate(ErrInvalidBlock, "another block's key")
	}
	length := int(binary.BigEndian.Uint32(sealed[4+contextkey.Size:]))
	if length != len(sealed)-Overhead {
		return nil, errors.Annotatef(ErrInvalidBlock, "length %d in %d bytes", length, len(sealed))
	}
	body := sealed[:headerSize+length]
	if !hmac.Equal(newMAC(salt, body).Sum(nil), sealed[len(body):]) {
		return nil, errors.Annotate(ErrInvalidBlock, "checksum differs")
	}
	return body[headerSize:], nil
}

type digest interface{ Sum([]byte) []byte }

func newMAC(salt, data []byte) digest {
	h := hmac.New(sha256.New, salt)
	h.Write(data)
	return h
}
