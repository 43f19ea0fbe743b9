package fleet

import (
	"crypto/sha256"
	"encoding/hex"
)

type (
	// TeamID names a team. The empty id stands for callers of open queues that send no key.
	TeamID string
	// QueueID names a queue.
	QueueID string
	// QueueAddress is where callers reach a queue: the host and the prefix of its paths.
	QueueAddress string
	// PoolID names a pool.
	PoolID string
	// InstanceID names an instance.
	InstanceID string
	// ZoneID names an availability zone.
	ZoneID string
	// RegionID names a region, a set of zones.
	RegionID string
	// RackID names a rack within a zone.
	RackID string
	// MemberID names a member: an entry process registered in the table service.
	MemberID string
	// RequestID names one request of a caller.
	RequestID string
	// NoteID names a release note. The author of the note chooses it.
	NoteID string
	// KeyHash is the SHA-256 hash of a key, in hexadecimal digits.
	KeyHash string
)

// Version is a version number. The version of a [Config] counts accepted release notes; the
// version of an [Assignment] grows with each change of the zone's placements.
type Version uint64

// Slots is a number of requests that run at the same time.
type Slots int

// Share is the fraction of the fleet that a team gets when the fleet is full, in units of
// 1/[FullShare].
type Share int

// FullShare is the upper bound on the sum of all teams' shares; it stands for the whole fleet.
const FullShare Share = 10_000

// HashKey returns the hash under which a key is stored. The keys themselves are never stored.
func HashKey(secret string) KeyHash {
	sum := sha256.Sum256([]byte(secret))
	return KeyHash(hex.EncodeToString(sum[:]))
}
