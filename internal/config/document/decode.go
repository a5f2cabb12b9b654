// Package document reads and writes the file in which operators keep a
// configuration set: JSON with the names of the fields of set.Set, and
// durations as texts such as "2s".
package document

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"time"
	"unicode/utf8"

	"filbertturn.example/filbertturn/internal/config/set"
)

const (
	// MaxSize is the maximum size of a file in bytes.
	MaxSize = 64 << 20

	// MaxProblems is the number of problems after which decoding stops.
	MaxProblems = 100
)

var durationType = reflect.TypeFor[time.Duration]()

// Problem is one error in a file with its position.
type Problem struct {
	Line    int    // Counted from 1.
	Column  int    // In bytes, counted from 1.
	Kind    string `json:",omitempty"` // Kind of the object, such as Route.
	Name    string `json:",omitempty"` // Name of the object.
	Field   string `json:",omitempty"`
	Message string
}

// String returns one line, such as: 3:17: Route orders: Timeout: is not a text.
func (p Problem) String() string {
	line := fmt.Sprintf("%d:%d: ", p.Line, p.Column)
	if p.Kind != "" {
		line += strings.TrimSpace(fmt.Sprintf("%s %.63s", p.Kind, p.Name)) + ": "
	}
	if p.Field != "" {
		line += p.Field + ": "
	}
	return line + p.Message
}

// Error lists the reasons why a file cannot be decoded, or a set not encoded.
type Error struct{ Problems []Problem }

func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return "document: " + strings.Join(lines, "\n")
}

// Decode decodes a set. It rejects unknown fields, duplicate fields, null, and data
// after the set. It does not validate the set; package check does. Its error is an
// Error with the first MaxProblems problems.
func Decode(data []byte) (set.Set, error) {
	var s set.Set
	d := &decoder{data: data, json: json.NewDecoder(bytes.NewReader(data))}
	if d.syntax() {
		d.value(reflect.ValueOf(&s).Elem(), "")
	}
	if len(d.problems) > 0 {
		return set.Set{}, &Error{Problems: d.problems}
	}
	return s, nil
}

// decoder decodes JSON by reflection, and reports errors by position. Its methods
// other than syntax require that syntax has succeeded.
type decoder struct {
	data     []byte
	json     *json.Decoder
	kind     string
	problems []Problem
}

// syntax checks the size, the encoding and the JSON syntax of the whole text.
func (d *decoder) syntax() bool {
	if len(d.data) > MaxSize {
		d.add(0, "", "has %d bytes, at most %d", len(d.data), MaxSize)
		return false
	}
	for i := 0; i < len(d.data); {
		r, size := utf8.DecodeRune(d.data[i:])
		if r == utf8.RuneError && size == 1 {
			d.add(i, "", "is not UTF-8")
			return false
		}
		i += size
	}
	var raw json.RawMessage
	err := json.Unmarshal(d.data, &raw)
	var bad *json.SyntaxError
	if errors.As(err, &bad) {
		d.add(max(int(bad.Offset)-1, 0), "", "%s", bad.Error())
	}
	return err == nil
}

// add appends a problem at a byte offset, up to MaxProblems.
func (d *decoder) add(offset int, field, format string, args ...any) {
	if len(d.problems) >= MaxProblems {
		return
	}
	before := d.data[:min(offset, len(d.data))]
	d.problems = append(d.problems, Problem{
		Line:   bytes.Count(before, []byte("\n")) + 1,
		Column: len(before) - bytes.LastIndexByte(before, '\n'),
		Kind:   d.kind, Field: field, Message: fmt.Sprintf(format, args...),
	})
}

// start returns the offset of the next token.
func (d *decoder) start() int {
	i := int(d.json.InputOffset())
	for i < len(d.data) && strings.IndexByte(" \t\r\n,:", d.data[i]) >= 0 {
		i++
	}
	return i
}

// raw consumes the next value and returns it undecoded.
func (d *decoder) raw() json.RawMessage {
	var raw json.RawMessage
	_ = d.json.Decode(&raw) // Cannot fail: the syntax has been checked.
	return raw
}

// value decodes the next value into v. field is the path of v, for problems.
func (d *decoder) value(v reflect.Value, field string) {
	at := d.start()
	first := d.data[at]
	switch {
	case v.Kind() == reflect.Struct && first == '{':
		d.object(v, field)
	case v.Kind() == reflect.Slice && first == '[':
		d.list(v, field)
	case v.Kind() == reflect.Struct || v.Kind() == reflect.Slice:
		d.raw()
		d.add(at, field, "is not %s", describe(v.Type()))
	case v.Type() == durationType:
		d.duration(v, at, field)
	default:
		if raw := d.raw(); first == 'n' || json.Unmarshal(raw, v.Addr().Interface()) != nil {
			d.add(at, field, "is not %s", describe(v.Type()))
		}
	}
}

func (d *decoder) duration(v reflect.Value, at int, field string) {
	var text string
	raw := d.raw()
	if raw[0] == '"' && json.Unmarshal(raw, &text) == nil {
		if t, err := time.ParseDuration(text); err == nil {
			v.SetInt(int64(t))
			return
		}
	}
	d.add(at, field, "is not a duration such as \"2s\" or \"150ms\"")
}

func (d *decoder) list(v reflect.Value, field string) {
	_, _ = d.json.Token()
	for d.json.More() && len(d.problems) < MaxProblems {
		e := reflect.New(v.Type().Elem()).Elem()
		d.value(e, field)
		v.Set(reflect.Append(v, e))
	}
	if len(d.problems) < MaxProblems {
		_, _ = d.json.Token()
	}
}

// object decodes a struct. A struct with a field Name is an object of the set; its
// problems get its kind and name, even if the name follows the invalid field.
func (d *decoder) object(v reflect.Value, field string) {
	name, known := v.Type().FieldByName("Name")
	before := len(d.problems)
	if known {
		d.kind = v.Type().Name()
		field = ""
	}
	_, _ = d.json.Token()
	seen := map[string]bool{}
	for d.json.More() && len(d.problems) < MaxProblems {
		d.member(v, field, seen)
	}
	if len(d.problems) < MaxProblems {
		_, _ = d.json.Token()
	}
	if known {
		for i := before; i < len(d.problems); i++ {
			d.problems[i].Name = v.FieldByIndex(name.Index).String()
		}
		d.kind = ""
	}
}

// member decodes one field of a struct. seen holds the names of the fields so far.
func (d *decoder) member(v reflect.Value, field string, seen map[string]bool) {
	at := d.start()
	token, _ := d.json.Token()
	name, _ := token.(string)
	path := strings.TrimPrefix(field+"."+name, ".")
	f, known := v.Type().FieldByName(name)
	switch {
	case !known:
		d.add(at, "", "field %.63q is not known", name)
		d.raw()
	case seen[name]:
		d.add(at, path, "stands twice")
		d.raw()
	default:
		seen[name] = true
		d.value(v.FieldByIndex(f.Index), path)
	}
}

// describe returns the JSON type that a Go type is decoded from, for messages.
func describe(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Struct:
		return "an object"
	case reflect.Slice:
		return "a list"
	case reflect.String:
		return "a text"
	case reflect.Bool:
		return "true or false"
	case reflect.Int:
		return "a whole number"
	default:
		return "a number"
	}
}
