package fleet

import (
	"crypto/sha256"
	"encoding/hex"
)

type (
	// TeamID names a team. The empty id stands for callers of open queues.
	TeamID string
	// QueueID names a queue.
	QueueID string
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
	// MemberID names an entry instance registered in the table service.
	MemberID string
	// RequestID names one request of a caller.
	RequestID string
	// NoteID names a release note; its author chooses it.
	NoteID string
	// KeyHash is the SHA-256 hash of a key, in hexadecimal digits.
	KeyHash string
)

// Version counts accepted release notes, or the assignment changes of a zone.
type Version uint64

// Slots counts requests that run at the same time.
type Slots int

// Share is a team's part of the fleet when it is full, in parts of [FullShare].
type Share int

// FullShare is the sum that the shares of all teams may reach.
const FullShare Share = 10_000

// HashKey returns the hash under which a key is stored. Keys themselves are never kept.
func HashKey(secret string) KeyHash {
	sum := sha256.Sum256([]byte(secret))
	return KeyHash(hex.EncodeToString(sum[:]))
}
