package claimer

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/google/uuid"
)

const (
	uuidTimeVersion = 7
)

type (
	// nameKey identifies a name (idempotency key) within a team by a hash.
	nameKey [16]byte

	// rendezvous maps keys to members by rendezvous hashing.
	rendezvous struct {
		ids   []string
		seeds []uint64
	}
)

// keyOfName returns the key of the team's name, a truncated hash of both.
func keyOfName(team, name string) nameKey {
	h := sha256.New()
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(team)))
	h.Write(length[:])
	h.Write([]byte(team))
	h.Write([]byte(name))
	return nameKey(h.Sum(nil)[:len(nameKey{})])
}

// dateOfName returns the time in a name (idempotency key) that is a version 7 UUID. It reports
// false for every other name.
func dateOfName(name string) (time.Time, bool) {
	id, err := uuid.Parse(name)
	if err != nil || id.Version() != uuidTimeVersion || id.Variant() != uuid.RFC4122 {
		return time.Time{}, false
	}
	ms := int64(binary.BigEndian.Uint64(id[:8]) >> 16)
	return time.UnixMilli(ms), true
}

func newRendezvous(ids []string) rendezvous {
	h := rendezvous{ids: ids, seeds: make([]uint64, len(ids))}
	for i, id := range ids {
		sum := sha256.Sum256([]byte(id))
		h.seeds[i] = binary.BigEndian.Uint64(sum[:8])
	}
	return h
}

// homeOf returns the ID of the member that is the home of the key, or "" if there
// are no members.
func (h rendezvous) homeOf(k nameKey) string {
	lo := binary.BigEndian.Uint64(k[:8])
	hi := binary.BigEndian.Uint64(k[8:])
	best, home := uint64(0), ""
	for i, seed := range h.seeds {
		weight := mixBits(mixBits(seed^lo) + hi)
		if home == "" || weight > best || weight == best && h.ids[i] < home {
			best, home = weight, h.ids[i]
		}
	}
	return home
}

// mixBits is the finalizer of SplitMix64.
func mixBits(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
