package fleet

// Items are the full texts of objects that a release note adds or changes.
type Items struct {
	Pools     []Pool
	Queues    []Queue
	Teams     []Team
	Keys      []Key
	Instances []Instance
}

// Refs name objects that a release note withdraws.
type Refs struct {
	Pools     []PoolID
	Queues    []QueueID
	Teams     []TeamID
	Keys      []KeyHash
	Instances []InstanceID
}

// ReleaseNote lists what is added, changed and withdrawn between two versions.
type ReleaseNote struct {
	ID        NoteID
	Base      Version // the version that it was written against
	Added     Items
	Changed   Items
	Withdrawn Refs
}
