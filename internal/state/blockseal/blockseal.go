// Package blockseal frames and authenticates a context block before it is stored
// on a store host, and verifies it when it is read back. A store host, its links
// and its slots can all be faulty, so only a block that Open has verified may
// reach an engine. Seal does not encrypt the content.
package blockseal

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"

	"github.com/juju/errors"

	"limpetwall/internal/state/contextkey"
)

// ErrInvalidBlock is returned when bytes are not the requested sealed block.
const ErrInvalidBlock = errors.ConstError("block does not verify")

const (
	magic      = 0x4c574b31 // "LWK1"
	headerSize = 4 + contextkey.Size + 4
	macSize    = sha256.Size
)

// Overhead is the number of bytes that Seal adds.
const Overhead = headerSize + macSize

// Seal returns a block with content: magic, key, length, content, HMAC-SHA256
// under the customer's salt. The HMAC comes last, so a partly written block has
// none.
func Seal(salt []byte, key contextkey.Key, content []byte) []byte {
	out := make([]byte, 0, len(content)+Overhead)
	out = binary.BigEndian.AppendUint32(out, magic)
	out = append(out, key[:]...)
	out = binary.BigEndian.AppendUint32(out, uint32(len(content)))
	out = append(out, content...)
	return newMAC(salt, out).Sum(out)
}

// Open verifies a sealed block and returns its content, or ErrInvalidBlock.
//
// The key in the header detects the bytes of another block, from a reused slot
// or a misdirected read. It identifies the whole prefix, customer and weight
// version, so a block with the right key is the right context, no matter when it
// was written. Length and HMAC detect torn writes, reads that race with the
// freeing of a slot, and flipped bits. The salt keeps a block of another customer
// from verifying, even with a forged key.
func Open(salt []byte, key contextkey.Key, sealed []byte) ([]byte, error) {
	if len(sealed) < Overhead {
		return nil, errors.Annotatef(ErrInvalidBlock, "block has only %d bytes", len(sealed))
	}
	if binary.BigEndian.Uint32(sealed) != magic {
		return nil, errors.Annotate(ErrInvalidBlock, "no block header")
	}
	if !hmac.Equal(sealed[4:4+contextkey.Size], key[:]) {
		return nil, errors.Annotate(ErrInvalidBlock, "another block's key")
	}
	length := int(binary.BigEndian.Uint32(sealed[4+contextkey.Size:]))
	if length != len(sealed)-Overhead {
		return nil, errors.Annotatef(ErrInvalidBlock, "content length %d in a block of %d bytes", length, len(sealed))
	}
	body := sealed[:headerSize+length]
	if !hmac.Equal(newMAC(salt, body).Sum(nil), sealed[len(body):]) {
		return nil, errors.Annotate(ErrInvalidBlock, "checksum differs")
	}
	return body[headerSize:], nil
}

// digest is the part of hash.Hash that returns the sum.
type digest interface{ Sum([]byte) []byte }

// newMAC returns the HMAC of data under salt.
func newMAC(salt, data []byte) digest {
	h := hmac.New(sha256.New, salt)
	h.Write(data)
	return h
}
