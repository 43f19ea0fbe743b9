package fleet

// Items are the complete definitions of the objects that a release note adds or changes.
type Items struct {
	Pools     []Pool
	Queues    []Queue
	Teams     []Team
	Keys      []Key
	Instances []Instance
}

// Refs are the ids of the objects that a release note withdraws.
type Refs struct {
	Pools     []PoolID
	Queues    []QueueID
	Teams     []TeamID
	Keys      []KeyHash
	Instances []InstanceID
}

// ReleaseNote lists the objects that are added, changed and withdrawn between two versions of
// a [Config].
type ReleaseNote struct {
	ID        NoteID
	Base      Version // the configuration version against which the note was written
	Added     Items
	Changed   Items
	Withdrawn Refs
}
