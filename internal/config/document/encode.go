package document

import (
	"bytes"
	"encoding/json"
	"reflect"
	"time"

	"filbertturn.example/filbertturn/internal/config/set"
)

// Encode encodes a set in the form that Decode reads, with its objects in their
// order and without fields of the zero value. Its error is an Error, which occurs
// for infinite numbers and NaN.
func Encode(s set.Set) ([]byte, error) {
	var b bytes.Buffer
	if err := write(&b, reflect.ValueOf(s)); err != nil {
		return nil, &Error{Problems: []Problem{{Line: 1, Column: 1, Message: err.Error()}}}
	}
	var indented bytes.Buffer
	if err := json.Indent(&indented, b.Bytes(), "", "  "); err != nil {
		return nil, &Error{Problems: []Problem{{Line: 1, Column: 1, Message: err.Error()}}}
	}
	indented.WriteByte('\n')
	return indented.Bytes(), nil
}

func write(b *bytes.Buffer, v reflect.Value) error {
	switch {
	case v.Type() == durationType:
		return writeScalar(b, time.Duration(v.Int()).String())
	case v.Kind() == reflect.Slice:
		return writeList(b, v)
	case v.Kind() == reflect.Struct:
		return writeObject(b, v)
	default:
		return writeScalar(b, v.Interface())
	}
}

func writeList(b *bytes.Buffer, v reflect.Value) error {
	b.WriteByte('[')
	for i := range v.Len() {
		if i > 0 {
			b.WriteByte(',')
		}
		if err := write(b, v.Index(i)); err != nil {
			return err
		}
	}
	b.WriteByte(']')
	return nil
}

func writeObject(b *bytes.Buffer, v reflect.Value) error {
	b.WriteByte('{')
	first := true
	for i := range v.NumField() {
		f := v.Field(i)
		if f.IsZero() || f.Kind() == reflect.Slice && f.Len() == 0 {
			continue
		}
		if !first {
			b.WriteByte(',')
		}
		first = false
		if err := writeScalar(b, v.Type().Field(i).Name); err != nil {
			return err
		}
		b.WriteByte(':')
		if err := write(b, f); err != nil {
			return err
		}
	}
	b.WriteByte('}')
	return nil
}

// writeScalar writes a JSON value without escaping characters such as <, so that
// the file stays readable.
func writeScalar(b *bytes.Buffer, value any) error {
	e := json.NewEncoder(b)
	e.SetEscapeHTML(false)
	if err := e.Encode(value); err != nil {
		return err
	}
	b.Truncate(b.Len() - 1) // Removes the newline that Encoder.Encode adds.
	return nil
}
