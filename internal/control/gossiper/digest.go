package gossiper

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// streamIDBytes is the size of a stream ID in a digest.
const streamIDBytes = 6

// streamHash returns the ID of a stream: 48 bits of a hash, so that digests stay small.
func streamHash(owner string, scope Scope, incarnation int64) uint64 {
	b := binary.AppendVarint(nil, incarnation)
	b = append(b, byte(scope))
	b = append(b, owner...)
	return xxhash.Sum64(b) >> (64 - 8*streamIDBytes)
}

// packDigest appends encoded entries to a digest: the stream ID, and a varint of the version shifted left by one with
// FromStart as the lowest bit.
func packDigest(digest []byte, entries ...DigestEntry) []byte {
	for _, e := range entries {
		id := binary.BigEndian.AppendUint64(nil, e.ID)
		digest = append(digest, id[8-streamIDBytes:]...)
		version := uint64(e.Version) << 1
		if e.FromStart {
			version |= 1
		}
		digest = binary.AppendUvarint(digest, version)
	}
	return digest
}

// unpackDigest returns the entries of a digest, up to the first that is malformed.
func unpackDigest(digest []byte) []DigestEntry {
	var out []DigestEntry
	for len(digest) > streamIDBytes {
		var id [8]byte
		copy(id[8-streamIDBytes:], digest)
		version, n := binary.Uvarint(digest[streamIDBytes:])
		if n <= 0 {
			break
		}
		digest = digest[streamIDBytes+n:]
		out = append(out, DigestEntry{
			ID: binary.BigEndian.Uint64(id[:]), Version: int64(version >> 1), FromStart: version&1 == 1,
		})
	}
	return out
}
