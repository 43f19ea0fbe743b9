package job

import (
	"encoding/binary"
	"slices"
)

// maxSetSize is the largest number of members of a set of tasks that is decoded.
const maxSetSize = 1_000_000

// shape numbers the tasks of a job, so that those of a step, of its next step and of the next occurrence
// follow each other. Its fields exceed all steps and indexes of tasks that it numbers.
type shape struct {
	Steps int
	Tasks int
}

// include extends the shape to a task.
func (s *shape) include(at Position) {
	s.Steps, s.Tasks = max(s.Steps, at.Step+1), max(s.Tasks, at.Index+1)
}

// valid reports whether a job may have the shape.
func (s shape) valid() bool {
	return s.Steps >= 1 && s.Steps <= MaxSteps && s.Tasks >= 1 && s.Tasks <= MaxTasks
}

// number returns the number of a task.
func (s shape) number(at Position) int64 {
	return (int64(at.Occurrence)*int64(s.Steps)+int64(at.Step))*int64(s.Tasks) + int64(at.Index)
}

// position is the inverse of number.
func (s shape) position(number int64) Position {
	steps, tasks := int64(s.Steps), int64(s.Tasks)
	return Position{Occurrence: int(number / tasks / steps), Step: int(number / tasks % steps), Index: int(number % tasks)}
}

// numbers returns the numbers of the tasks that are keys of a map, in order.
func numbers[V any](s shape, values map[Position]V) []int64 {
	out := make([]int64, 0, len(values))
	for at := range values {
		out = append(out, s.number(at))
	}
	slices.Sort(out)
	return out
}

// encodeSet returns the stored form of a set of numbers in ascending order: for each range of successive
// ones, the distance from the end of the range before and the length of this one, as varints.
func encodeSet(set []int64) []byte {
	var out []byte
	next := int64(0) // the number after the range before
	for i := 0; i < len(set); {
		k := i + 1
		for k < len(set) && set[k] == set[k-1]+1 {
			k++
		}
		out = binary.AppendUvarint(out, uint64(set[i]-next))
		out = binary.AppendUvarint(out, uint64(k-i))
		next = set[k-1] + 1
		i = k
	}
	return out
}

// decodeSet is the inverse of encodeSet. Numbers are below limit. It reports whether the text has the
// stored form.
func decodeSet(text []byte, limit int64) (set []int64, ok bool) {
	next := int64(0)
	for len(text) > 0 {
		gap, n := binary.Uvarint(text)
		if n <= 0 || gap > uint64(limit) {
			return nil, false
		}
		length, m := binary.Uvarint(text[n:])
		if m <= 0 || length == 0 || length > maxSetSize-uint64(len(set)) || next+int64(gap)+int64(length) > limit {
			return nil, false
		}
		text = text[n+m:]
		next += int64(gap)
		for range length {
			set = append(set, next)
			next++
		}
	}
	return set, true
}

// encodeValues returns the stored form of a list of values: for each run of equal values, its length and
// the difference from the value before, as varints.
func encodeValues(values []int64) []byte {
	var out []byte
	last := int64(0)
	for i := 0; i < len(values); {
		k := i + 1
		for k < len(values) && values[k] == values[i] {
			k++
		}
		out = binary.AppendUvarint(out, uint64(k-i))
		out = binary.AppendVarint(out, values[i]-last)
		last = values[i]
		i = k
	}
	return out
}

// decodeValues is the inverse of encodeValues. It reports whether the text is the stored form of count
// values.
func decodeValues(text []byte, count int) (values []int64, ok bool) {
	last := int64(0)
	for len(text) > 0 {
		length, n := binary.Uvarint(text)
		if n <= 0 || length == 0 || length > uint64(count-len(values)) {
			return nil, false
		}
		change, m := binary.Varint(text[n:])
		if m <= 0 {
			return nil, false
		}
		text = text[n+m:]
		last += change
		for range length {
			values = append(values, last)
		}
	}
	return values, len(values) == count
}
