package transport

import (
	"strings"
	"unicode/utf8"
)

// rawMark begins a text of HTTP that is not UTF-8, as strings of protobuf have to be. Its bytes
// follow as the characters of these numbers. No text of HTTP begins with this byte.
const rawMark = "\x00"

// encodeText encodes a text of HTTP, which may hold any bytes, as a string of protobuf.
func encodeText(text string) string {
	if utf8.ValidString(text) {
		return text
	}
	var b strings.Builder
	b.WriteString(rawMark)
	for i := range len(text) {
		b.WriteRune(rune(text[i]))
	}
	return b.String()
}

// decodeText decodes what encodeText encodes.
func decodeText(text string) string {
	rest, ok := strings.CutPrefix(text, rawMark)
	if !ok {
		return text
	}
	b := make([]byte, 0, len(rest))
	for _, r := range rest {
		b = append(b, byte(r))
	}
	return string(b)
}
