package gossiper

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// idBytes is the size of a stream's ID in a digest, in bytes.
const idBytes = 6

// streamHash returns the ID of a stream: 48 bits of a hash, so that a digest stays small.
func streamHash(owner string, scope Scope, incarnation int64) uint64 {
	b := binary.AppendVarint(nil, incarnation)
	b = append(b, byte(scope))
	b = append(b, owner...)
	return xxhash.Sum64(b) >> (64 - 8*idBytes)
}

// pack appends marks to a digest.
func pack(digest []byte, marks ...Mark) []byte {
	for _, m := range marks {
		id := binary.BigEndian.AppendUint64(nil, m.ID)
		digest = append(digest, id[8-idBytes:]...)
		version := uint64(m.Version) << 1
		if m.Whole {
			version |= 1
		}
		digest = binary.AppendUvarint(digest, version)
	}
	return digest
}

// unpack returns the marks of a digest, up to the first that cannot be read.
func unpack(digest []byte) []Mark {
	var out []Mark
	for len(digest) > idBytes {
		var id [8]byte
		copy(id[8-idBytes:], digest)
		version, n := binary.Uvarint(digest[idBytes:])
		if n <= 0 {
			break
		}
		digest = digest[idBytes+n:]
		out = append(out, Mark{
			ID: binary.BigEndian.Uint64(id[:]), Version: int64(version >> 1), Whole: version&1 == 1,
		})
	}
	return out
}
