package frame

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"filbertturn.example/filbertturn/internal/peer/peerpb"
)

func TestConn_Read(t *testing.T) {
	var whole bytes.Buffer
	want := &peerpb.Frame{Body: &peerpb.Frame_Data{Data: &peerpb.Data{Bytes: []byte("plaster")}}}
	if err := New(&whole).Write(want); err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		desc  string
		bytes []byte
		check func(error) bool
	}{
		{desc: "empty", bytes: nil, check: func(err error) bool { return errors.Is(err, io.EOF) }},
		{desc: "cut in the length", bytes: whole.Bytes()[:2], check: func(err error) bool { return errors.Is(err, io.ErrUnexpectedEOF) }},
		{desc: "cut in the body", bytes: whole.Bytes()[:whole.Len()-1], check: func(err error) bool { return errors.Is(err, io.ErrUnexpectedEOF) }},
		{desc: "length only", bytes: whole.Bytes()[:4], check: func(err error) bool { return errors.Is(err, io.ErrUnexpectedEOF) }},
		{desc: "too large", bytes: []byte{255, 255, 255, 255}, check: func(err error) bool { var e *SizeError; return errors.As(err, &e) }},
		{desc: "no protobuf", bytes: []byte{0, 0, 0, 1, 255}, check: func(err error) bool { var e *FormatError; return errors.As(err, &e) }},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			if _, err := New(bytes.NewBuffer(tt.bytes)).Read(); !tt.check(err) {
				t.Errorf("got error %v", err)
			}
		})
	}
	got, err := New(&whole).Read()
	if err != nil || !proto.Equal(got, want) {
		t.Errorf("got %v, %v, want %v", got, err, want)
	}
}

// TestConn_Read_group guards against fields that are decoded and not paid for because they follow a group, which no
// message of nodes has.
func TestConn_Read_group(t *testing.T) {
	const fields = 100
	head := protowire.AppendTag(nil, 1000, protowire.StartGroupType)
	head = protowire.AppendTag(head, 1000, protowire.EndGroupType)
	for range fields {
		head = protowire.AppendBytes(protowire.AppendTag(head, 5, protowire.BytesType), nil)
	}
	body := protowire.AppendBytes(protowire.AppendTag(nil, 1, protowire.BytesType), head)
	c := New(bytes.NewBuffer(append([]byte{0, 0, byte(len(body) >> 8), byte(len(body))}, body...)))
	admitted := 0
	c.Admit = func(_, n int) bool { admitted += n; return true }
	f, err := c.Read()
	if got := len(f.GetRequest().GetHeaders()); err != nil || got != fields || admitted < got {
		t.Errorf("got %d fields, %d of them admitted, and %v, want %d and all of them", got, admitted, err, fields)
	}
}

func FuzzConn_Read(f *testing.F) {
	f.Add([]byte{0, 0, 0, 0})
	f.Add([]byte{0, 0, 0, 2, 10, 0})
	f.Add([]byte{255, 255, 255, 255, 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		c := New(bytes.NewBuffer(data))
		for {
			got, err := c.Read()
			if err != nil {
				return
			}
			if got == nil {
				t.Fatal("got no frame and no error")
			}
		}
	})
}
