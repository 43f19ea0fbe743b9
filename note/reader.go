package note

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"citronknot/fleet"
)

// MaxSize is the maximum size of the text of a note in bytes. A note that adds 910 instances is
// under 1 MB.
const MaxSize = 4 << 20

// maxDepth is the maximum nesting depth of a text. A note has 4 levels; more are allowed, so
// that a deeper text is reported with its unknown fields rather than with its depth.
const maxDepth = 16

// reader reads a text whose JSON syntax has been checked, so that scanning needs no further
// checks. It collects faults and the offsets of fields.
type reader struct {
	text    []byte
	pos     int // offset of the next byte to read
	faults  []Fault
	offsets map[string]int // offsets of values in text, by the path of the field
}

// newReader returns a reader of text after checking its size, depth and syntax.
func newReader(text []byte) (*reader, error) {
	r := &reader{text: text, offsets: map[string]int{}}
	if len(text) > MaxSize {
		r.addFault(0, "", fmt.Sprintf("%d bytes", len(text)), fmt.Sprintf("at most %d bytes", MaxSize))
		return nil, r.err()
	}
	if offset, deep := findTooDeep(text); deep {
		r.addFault(offset, "", string(text[offset]), fmt.Sprintf("at most %d levels of objects and lists", maxDepth))
		return nil, r.err()
	}
	var raw json.RawMessage
	if err := json.Unmarshal(text, &raw); err != nil {
		r.addSyntaxFault(err)
		return nil, r.err()
	}
	return r, nil
}

// addSyntaxFault adds a fault for an error of encoding/json, which reports the offset behind the
// faulty byte.
func (r *reader) addSyntaxFault(err error) {
	offset := len(r.text)
	var syntaxErr *json.SyntaxError
	if errors.As(err, &syntaxErr) && !strings.Contains(syntaxErr.Error(), "unexpected end") {
		offset = max(0, int(syntaxErr.Offset)-1)
	}
	accepted := "JSON: " + err.Error()
	if strings.Contains(err.Error(), "after top-level value") {
		accepted = "no text after the release note"
	}
	r.addFault(offset, "", snippet(r.text[min(offset, len(r.text)):]), accepted)
}

// findTooDeep returns the offset of the first bracket that exceeds maxDepth, and whether there
// is one.
func findTooDeep(text []byte) (int, bool) {
	depth, quoted := 0, false
	for i := 0; i < len(text); i++ {
		switch c := text[i]; {
		case quoted && c == '\\':
			i++
		case c == '"':
			quoted = !quoted
		case quoted:
		case c == '{' || c == '[':
			if depth++; depth > maxDepth {
				return i, true
			}
		case c == '}' || c == ']':
			depth--
		}
	}
	return 0, false
}

// err returns the faults found so far as a *DecodeError, or nil if there are none.
func (r *reader) err() error {
	if len(r.faults) == 0 {
		return nil
	}
	return &DecodeError{Faults: r.faults}
}

// addFault records a fault, unless maxFaults are recorded already.
func (r *reader) addFault(offset int, field, value, accepted string) {
	if len(r.faults) < maxFaults {
		r.faults = append(r.faults, Fault{
			Position: positionOf(r.text, offset),
			Fault:    fleet.Fault{Field: field, Value: value, Accepted: accepted},
		})
	}
}

// snippet returns the beginning of a value as valid UTF-8, for use in a fault.
func snippet(raw []byte) string {
	const maxLength = 64
	if len(raw) > maxLength {
		return strings.ToValidUTF8(string(raw[:maxLength]), "") + "..."
	}
	return strings.ToValidUTF8(string(raw), "")
}

// nextByte skips white space, commas and colons, and returns the following byte without
// consuming it.
func (r *reader) nextByte() byte {
	for bytes.IndexByte([]byte(" \t\r\n,:"), r.text[r.pos]) >= 0 {
		r.pos++
	}
	return r.text[r.pos]
}

// rawValue returns the undecoded text of the next value with its offset, and skips the value.
func (r *reader) rawValue() (offset int, value []byte) {
	r.nextByte()
	offset = r.pos
	switch r.text[r.pos] {
	case '"':
		r.skipString()
	case '{', '[':
		r.skipNested()
	default:
		for r.pos < len(r.text) && bytes.IndexByte([]byte(" \t\r\n,]}"), r.text[r.pos]) < 0 {
			r.pos++
		}
	}
	return offset, r.text[offset:r.pos]
}

func (r *reader) skipString() {
	for r.pos++; r.text[r.pos] != '"'; r.pos++ {
		if r.text[r.pos] == '\\' {
			r.pos++
		}
	}
	r.pos++
}

func (r *reader) skipNested() {
	for depth := 0; ; {
		switch r.text[r.pos] {
		case '"':
			r.skipString()
			continue
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		}
		r.pos++
		if depth == 0 {
			return
		}
	}
}

// addTypeFault adds a fault for the next value, which has the wrong type, and skips the value.
func (r *reader) addTypeFault(path, accepted string) {
	offset, raw := r.rawValue()
	r.addFault(offset, path, snippet(raw), accepted)
}

// field describes a field of an object and how to read its value.
type field struct {
	name     string
	required bool
	read     func(r *reader, path string)
}

// object reads an object that may have only the given fields. The path is that of the object,
// such as "added.teams[0]", and is empty for the whole note.
func (r *reader) object(path string, fields []field) {
	if r.nextByte() != '{' {
		r.addTypeFault(path, "an object")
		return
	}
	start := r.pos
	r.offsets[path] = start
	seen := make(map[string]bool, len(fields))
	for r.pos++; r.nextByte() != '}'; {
		offset, quoted := r.rawValue()
		name := unquote(quoted)
		fieldPath := joinPath(path, name)
		f := findField(fields, name)
		switch {
		case f == nil:
			r.addFault(offset, fieldPath, name, "one of the fields "+fieldNames(fields))
		case seen[name]:
			r.addFault(offset, fieldPath, name, "a field that is given once")
		}
		if f == nil || seen[name] {
			r.rawValue()
			continue
		}
		seen[name] = true
		r.nextByte()
		r.offsets[fieldPath] = r.pos
		f.read(r, fieldPath)
	}
	r.pos++
	for _, f := range fields {
		if f.required && !seen[f.name] {
			r.addFault(start, joinPath(path, f.name), "", "a value; the field is required")
		}
	}
}

func joinPath(parent, name string) string {
	if parent == "" {
		return name
	}
	return parent + "." + name
}

func findField(fields []field, name string) *field {
	for i := range fields {
		if fields[i].name == name {
			return &fields[i]
		}
	}
	return nil
}

func fieldNames(fields []field) string {
	names := make([]string, len(fields))
	for i, f := range fields {
		names[i] = f.name
	}
	return strings.Join(names, ", ")
}

func unquote(raw []byte) string {
	var decoded string
	_ = json.Unmarshal(raw, &decoded) // the syntax has been checked
	return decoded
}

// listField returns a field that appends the items of a list to values.
func listField[T any](name string, values *[]T, readItem func(r *reader, path string, value *T)) field {
	return field{name: name, read: func(r *reader, path string) {
		if r.nextByte() != '[' {
			r.addTypeFault(path, "a list")
			return
		}
		for r.pos++; r.nextByte() != ']'; {
			var item T
			itemPath := path + "[" + strconv.Itoa(len(*values)) + "]"
			r.offsets[itemPath] = r.pos
			readItem(r, itemPath, &item)
			*values = append(*values, item)
		}
		r.pos++
	}}
}

func objectField(name string, fields []field) field {
	return field{name: name, read: func(r *reader, path string) { r.object(path, fields) }}
}

func stringField[T ~string](name string, value *T) field {
	return field{name: name, read: func(r *reader, path string) { readString(r, path, value) }}
}

func readString[T ~string](r *reader, path string, value *T) {
	if r.nextByte() != '"' {
		r.addTypeFault(path, "a string")
		return
	}
	_, raw := r.rawValue()
	*value = T(unquote(raw))
}

func boolField(name string, value *bool) field {
	return field{name: name, read: func(r *reader, path string) {
		offset, raw := r.rawValue()
		switch string(raw) {
		case "true":
			*value = true
		case "false":
			*value = false
		default:
			r.addFault(offset, path, snippet(raw), "true or false")
		}
	}}
}

func intField[T ~int | ~int64](name string, value *T) field {
	return field{name: name, read: func(r *reader, path string) {
		offset, raw := r.rawValue()
		n, err := strconv.ParseInt(string(raw), 10, 64)
		if err != nil {
			r.addFault(offset, path, snippet(raw), "a whole number from -2^63 to 2^63-1")
			return
		}
		*value = T(n)
	}}
}

func uintField[T ~uint64](name string, value *T) field {
	return field{name: name, read: func(r *reader, path string) {
		offset, raw := r.rawValue()
		n, err := strconv.ParseUint(string(raw), 10, 64)
		if err != nil {
			r.addFault(offset, path, snippet(raw), "a whole number from 0 to 2^64-1")
			return
		}
		*value = T(n)
	}}
}

func (f field) markRequired() field {
	f.required = true
	return f
}
