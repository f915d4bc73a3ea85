package claimer

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/google/uuid"
)

const (
	dateVersion = 7
)

type (
	// key identifies a name of a team.
	key [16]byte

	// homes places keys on members by rendezvous hashing.
	homes struct {
		ids   []string
		seeds []uint64
	}
)

// keyOf returns the key of a team's name.
func keyOf(team, name string) key {
	h := sha256.New()
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(team)))
	h.Write(length[:])
	h.Write([]byte(team))
	h.Write([]byte(name))
	return key(h.Sum(nil)[:len(key{})])
}

// dateOf returns the time in a name that is a UUID of version 7. It reports
// false for every other name.
func dateOf(name string) (time.Time, bool) {
	id, err := uuid.Parse(name)
	if err != nil || id.Version() != dateVersion || id.Variant() != uuid.RFC4122 {
		return time.Time{}, false
	}
	ms := int64(binary.BigEndian.Uint64(id[:8]) >> 16)
	return time.UnixMilli(ms), true
}

func newHomes(ids []string) homes {
	h := homes{ids: ids, seeds: make([]uint64, len(ids))}
	for i, id := range ids {
		sum := sha256.Sum256([]byte(id))
		h.seeds[i] = binary.BigEndian.Uint64(sum[:8])
	}
	return h
}

// of returns the home of the key, empty when there is no member.
func (h homes) of(k key) string {
	lo := binary.BigEndian.Uint64(k[:8])
	hi := binary.BigEndian.Uint64(k[8:])
	best, home := uint64(0), ""
	for i, seed := range h.seeds {
		weight := mix(mix(seed^lo) + hi)
		if home == "" || weight > best || weight == best && h.ids[i] < home {
			best, home = weight, h.ids[i]
		}
	}
	return home
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
