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

// MaxSize bounds the text of a note in bytes: a note that adds 910 instances stays under 1 MB.
const MaxSize = 4 << 20

// maxDepth bounds the nesting of a text. A note nests 4 levels; the rest is room for texts
// whose unknown fields are to be reported rather than their depth.
const maxDepth = 16

// reader walks over a text that json.Valid accepts, so that scanning needs no checks.
type reader struct {
	text    []byte
	pos     int
	faults  []Fault
	offsets map[string]int
}

// newReader checks size, depth and syntax.
func newReader(text []byte) (*reader, error) {
	r := &reader{text: text, offsets: map[string]int{}}
	if len(text) > MaxSize {
		r.fault(0, "", fmt.Sprintf("%d bytes", len(text)), fmt.Sprintf("at most %d bytes", MaxSize))
		return nil, r.err()
	}
	if at, deep := tooDeep(text); deep {
		r.fault(at, "", string(text[at]), fmt.Sprintf("at most %d levels of objects and lists", maxDepth))
		return nil, r.err()
	}
	var raw json.RawMessage
	if err := json.Unmarshal(text, &raw); err != nil {
		r.faultSyntax(err)
		return nil, r.err()
	}
	return r, nil
}

func (r *reader) faultSyntax(err error) {
	at := len(r.text)
	var se *json.SyntaxError
	if errors.As(err, &se) && !strings.Contains(se.Error(), "unexpected end") {
		at = max(0, int(se.Offset)-1)
	}
	accepted := "JSON: " + err.Error()
	if strings.Contains(err.Error(), "after top-level value") {
		accepted = "no text after the release note"
	}
	r.fault(at, "", snippet(r.text[min(at, len(r.text)):]), accepted)
}

// tooDeep returns the offset of the first bracket beyond maxDepth.
func tooDeep(text []byte) (int, bool) {
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

func (r *reader) err() error {
	if len(r.faults) == 0 {
		return nil
	}
	return &DecodeError{Faults: r.faults}
}

func (r *reader) fault(offset int, field, value, accepted string) {
	if len(r.faults) < maxFaults {
		r.faults = append(r.faults, Fault{
			Position: positionOf(r.text, offset),
			Fault:    fleet.Fault{Field: field, Value: value, Accepted: accepted},
		})
	}
}

// snippet shortens a value for a report.
func snippet(raw []byte) string {
	const longest = 64
	if len(raw) > longest {
		return strings.ToValidUTF8(string(raw[:longest]), "") + "..."
	}
	return strings.ToValidUTF8(string(raw), "")
}

// next skips white space, commas and colons, and returns the byte that follows.
func (r *reader) next() byte {
	for bytes.IndexByte([]byte(" \t\r\n,:"), r.text[r.pos]) >= 0 {
		r.pos++
	}
	return r.text[r.pos]
}

// raw returns the next value unread and moves behind it.
func (r *reader) raw() (offset int, value []byte) {
	r.next()
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

func (r *reader) wrongType(at, accepted string) {
	offset, raw := r.raw()
	r.fault(offset, at, snippet(raw), accepted)
}

// field reads the value of one field of an object.
type field struct {
	name     string
	required bool
	read     func(r *reader, at string)
}

// object reads an object whose fields are known.
func (r *reader) object(at string, fields []field) {
	if r.next() != '{' {
		r.wrongType(at, "an object")
		return
	}
	begin := r.pos
	r.offsets[at] = begin
	seen := make(map[string]bool, len(fields))
	for r.pos++; r.next() != '}'; {
		offset, quoted := r.raw()
		name := unquote(quoted)
		path := join(at, name)
		f := find(fields, name)
		switch {
		case f == nil:
			r.fault(offset, path, name, "one of the fields "+names(fields))
		case seen[name]:
			r.fault(offset, path, name, "a field that is given once")
		}
		if f == nil || seen[name] {
			r.raw()
			continue
		}
		seen[name] = true
		r.next()
		r.offsets[path] = r.pos
		f.read(r, path)
	}
	r.pos++
	for _, f := range fields {
		if f.required && !seen[f.name] {
			r.fault(begin, join(at, f.name), "", "a value; the field is required")
		}
	}
}

func join(at, name string) string {
	if at == "" {
		return name
	}
	return at + "." + name
}

func find(fields []field, name string) *field {
	for i := range fields {
		if fields[i].name == name {
			return &fields[i]
		}
	}
	return nil
}

func names(fields []field) string {
	all := make([]string, len(fields))
	for i, f := range fields {
		all[i] = f.name
	}
	return strings.Join(all, ", ")
}

func unquote(raw []byte) string {
	var s string
	_ = json.Unmarshal(raw, &s) // the syntax has been checked
	return s
}

// list returns a field that reads a list.
func list[T any](name string, to *[]T, item func(r *reader, at string, to *T)) field {
	return field{name: name, read: func(r *reader, at string) {
		if r.next() != '[' {
			r.wrongType(at, "a list")
			return
		}
		for r.pos++; r.next() != ']'; {
			var v T
			path := at + "[" + strconv.Itoa(len(*to)) + "]"
			r.offsets[path] = r.pos
			item(r, path, &v)
			*to = append(*to, v)
		}
		r.pos++
	}}
}

func nested(name string, fields []field) field {
	return field{name: name, read: func(r *reader, at string) { r.object(at, fields) }}
}

func text[T ~string](name string, to *T) field {
	return field{name: name, read: func(r *reader, at string) { readText(r, at, to) }}
}

func readText[T ~string](r *reader, at string, to *T) {
	if r.next() != '"' {
		r.wrongType(at, "a string")
		return
	}
	_, raw := r.raw()
	*to = T(unquote(raw))
}

func flag(name string, to *bool) field {
	return field{name: name, read: func(r *reader, at string) {
		offset, raw := r.raw()
		switch string(raw) {
		case "true":
			*to = true
		case "false":
			*to = false
		default:
			r.fault(offset, at, snippet(raw), "true or false")
		}
	}}
}

func number[T ~int | ~int64](name string, to *T) field {
	return field{name: name, read: func(r *reader, at string) {
		offset, raw := r.raw()
		n, err := strconv.ParseInt(string(raw), 10, 64)
		if err != nil {
			r.fault(offset, at, snippet(raw), "a whole number from -2^63 to 2^63-1")
			return
		}
		*to = T(n)
	}}
}

func version[T ~uint64](name string, to *T) field {
	return field{name: name, read: func(r *reader, at string) {
		offset, raw := r.raw()
		n, err := strconv.ParseUint(string(raw), 10, 64)
		if err != nil {
			r.fault(offset, at, snippet(raw), "a whole number from 0 to 2^64-1")
			return
		}
		*to = T(n)
	}}
}

func (f field) must() field {
	f.required = true
	return f
}
