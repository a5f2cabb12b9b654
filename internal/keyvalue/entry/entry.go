// Package entry decodes JSON entries that others wrote, more strictly than encoding/json does:
// an entry that two readers might understand in two ways is refused.
package entry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"unicode/utf8"
)

// Error reports an entry that cannot be used.
type Error struct {
	Problem string
}

// Error implements the error interface.
func (e *Error) Error() string {
	return "entry " + e.Problem
}

// Decode decodes one JSON object of at most maxBytes into v. It refuses null, text that is not
// UTF-8, data after the object, and objects with the same name twice, in whatever case. Names
// that v lacks are ignored. Its errors are Error and those of encoding/json.
func Decode(data []byte, maxBytes int, v any) error {
	switch trimmed := bytes.TrimLeft(data, " \t\r\n"); {
	case len(data) > maxBytes:
		return &Error{fmt.Sprintf("has %d bytes, at most %d", len(data), maxBytes)}
	case len(trimmed) == 0 || trimmed[0] != '{':
		return &Error{"is not a JSON object"}
	case !utf8.Valid(data):
		return &Error{"is not UTF-8"}
	}
	if err := json.Unmarshal(data, v); err != nil {
		return err
	}
	if name, ok := repeated(data); ok {
		return &Error{fmt.Sprintf("has the name %.40q twice", name)}
	}
	return nil
}

// repeated returns a name that stands twice in one of the objects of a valid JSON text, or
// false if there is none.
func repeated(data []byte) (string, bool) {
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	var open []scope
	for {
		token, err := d.Token()
		if err != nil {
			return "", false
		}
		top := len(open) - 1
		switch token := token.(type) {
		case json.Delim:
			if token == '{' || token == '[' {
				if top >= 0 {
					open[top].nameDue = true
				}
				open = append(open, scope{isObject: token == '{', nameDue: true})
				continue
			}
			open = open[:top]
		default:
			if top < 0 || !open[top].isObject || !open[top].nameDue {
				if top >= 0 {
					open[top].nameDue = true
				}
				continue
			}
			name, _ := token.(string)
			if open[top].add(name) {
				return name, true
			}
			open[top].nameDue = false
		}
	}
}

// scope is an object or a list that has been entered.
type scope struct {
	isObject bool
	nameDue  bool // The next token is a name, if it is an object.
	names    map[string]bool
}

// add adds a name and reports whether it was there already.
func (s *scope) add(name string) bool {
	folded := strings.ToLower(name)
	if s.names[folded] {
		return true
	}
	if s.names == nil {
		s.names = make(map[string]bool)
	}
	s.names[folded] = true
	return false
}
