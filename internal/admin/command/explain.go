package command

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"
)

// maxLogLine is the longest log line in bytes that scanLog accepts.
const maxLogLine = 1 << 20

func newExplain() *cobra.Command {
	return &cobra.Command{
		Use:   "explain ID",
		Short: "Show the history of a request from the log lines on standard input",
		Long: "Show the history of a request from the log lines on standard input.\n\n" +
			"The lines may come from all nodes, mixed and out of order, and may have text before the JSON object.",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return explainRequest(c.OutOrStdout(), c.InOrStdin(), args[0])
		},
	}
}

// logLine is a decoded log line about the request.
type logLine struct {
	at     time.Time
	node   string
	text   string
	fields map[string]any
}

// explainRequest prints the log lines about a request in order of time. It warns if
// nodes dropped lines or if the line that reports the end of the request is missing.
func explainRequest(out io.Writer, in io.Reader, id string) error {
	lines, dropped, err := readLog(in, id)
	if err != nil {
		return &Exit{Code: ExitFailure, Err: err}
	}
	if dropped > 0 {
		_, _ = fmt.Fprintf(out, "%d log lines were dropped by the nodes; some of this request's may be missing\n", dropped)
	}
	if len(lines) == 0 {
		return &Exit{Code: ExitFailure, Err: fmt.Errorf("no log line names request %q: it was answered within its objective, or its node's log is missing", id)}
	}
	ended := false
	for _, l := range lines {
		_, _ = fmt.Fprintf(out, "%s %s: %s%s\n", l.at.Format("15:04:05.000"), l.node, l.text, formatFields(l.fields))
		ended = ended || l.text == "request ended"
	}
	if !ended {
		_, _ = fmt.Fprintln(out, "the end is missing: the request still runs, was answered within its objective, or its entry's log is missing")
	}
	return nil
}

// readLog returns the log lines about a request, sorted by time, and the number of
// lines that nodes dropped.
func readLog(in io.Reader, id string) ([]logLine, int, error) {
	var lines []logLine
	dropped, err := scanLog(in, func(text []byte) {
		var fields map[string]any
		if json.Unmarshal(text, &fields) != nil || fields["RequestID"] != id {
			return
		}
		l := logLine{fields: fields}
		l.node, _ = fields["Node"].(string)
		l.text, _ = fields["Message"].(string)
		if text, ok := fields["Time"].(string); ok {
			// A line whose time cannot be parsed keeps the zero time and sorts first.
			l.at, _ = time.Parse(time.RFC3339Nano, text)
		}
		lines = append(lines, l)
	})
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.at.Compare(b.at) })
	return lines, dropped, err
}

// scanLog calls f with the JSON object of each line of the log, without any text
// before it, and returns the number of lines that nodes dropped. The slice is valid
// only during the call.
func scanLog(in io.Reader, f func(text []byte)) (int, error) {
	dropped := 0
	s := bufio.NewScanner(in)
	s.Buffer(nil, maxLogLine)
	for s.Scan() {
		start := bytes.IndexByte(s.Bytes(), '{')
		if start < 0 {
			continue
		}
		text := s.Bytes()[start:]
		var line struct {
			Message string
			Count   int
		}
		if json.Unmarshal(text, &line) == nil && line.Message == "log lines dropped" {
			dropped += line.Count
		}
		f(text)
	}
	if errors.Is(s.Err(), bufio.ErrTooLong) {
		return 0, fmt.Errorf("log line longer than %d bytes", maxLogLine)
	}
	return dropped, s.Err()
}

// formatFields formats the fields that the line does not show elsewhere, sorted by
// name. Empty strings are left out.
func formatFields(fields map[string]any) string {
	var names []string
	for name := range fields {
		switch name {
		case "Node", "Message", "Time", "Level", "RequestID":
		default:
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var b strings.Builder
	for _, name := range names {
		if fields[name] != "" {
			_, _ = fmt.Fprintf(&b, " %s=%v", name, fields[name])
		}
	}
	return b.String()
}
