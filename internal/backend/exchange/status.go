package exchange

import (
	"bufio"
	"fmt"
	"io"
)

// statusLineForm is the start of each status line: 1 stands for 0 or 1, 5 for 1 to 5, 9 for any digit, and the last
// space also for the end of the line.
const statusLineForm = "HTTP/1.1 599 "

// statusLineError reports a response that does not begin with a status line of HTTP/1.0 or HTTP/1.1 and a status of
// 100 to 599.
type statusLineError struct {
	start string
}

// Error implements the error interface.
func (e *statusLineError) Error() string {
	return fmt.Sprintf("response begins with %q instead of a status line", e.start)
}

// checkStatusLine returns an error unless the next bytes are the start of a valid status line. net/http takes 000 and +20
// for statuses, and any version. Statuses from 600 on have no class that tells callers what they mean, and RFC 9110,
// section 15, has clients treat them as errors of the server.
func checkStatusLine(r *bufio.Reader) error {
	for {
		start, _ := r.Peek(min(r.Buffered(), len(statusLineForm)))
		if !startsStatusLine(start) {
			return &statusLineError{string(start)}
		}
		if len(start) == len(statusLineForm) {
			return nil
		}
		// The other side may send less and wait, so no more than one further byte is waited for.
		if _, err := r.Peek(len(start) + 1); err == io.EOF {
			return io.ErrUnexpectedEOF
		} else if err != nil {
			return err
		}
	}
}

// startsStatusLine reports whether a valid status line can begin with the bytes.
func startsStatusLine(start []byte) bool {
	for i, b := range start {
		ok := false
		switch form := statusLineForm[i]; {
		case i == len(statusLineForm)-1:
			ok = b == ' ' || b == '\r' || b == '\n'
		case form == '1' && i > len("HTTP/1"):
			ok = b == '0' || b == '1'
		case form == '5':
			ok = '1' <= b && b <= '5'
		case form == '9':
			ok = '0' <= b && b <= '9'
		default:
			ok = b == form
		}
		if !ok {
			return false
		}
	}
	return true
}
