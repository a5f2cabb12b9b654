// Package leftout reports the entries of others that a node leaves out because it cannot use
// them. Each revision of an entry is logged once, however often it is read.
package leftout

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// maxSources bounds the memory. Entries of further sources are only counted.
	maxSources = 256

	// repeatInterval is the time between two lines for a source whose entries have no revision.
	repeatInterval = time.Minute

	// forgetAfter is the time after which a source that was not reported again makes room for
	// others.
	forgetAfter = 10 * time.Minute

	// counter counts revisions of entries, and each entry that has none.
	counter = "entries_left_out_total"

	maxTextBytes = 200
)

// Reporter logs and counts the entries that a node leaves out. Its zero value and nil report nothing. Its
// methods may be called by several goroutines at once.
type Reporter struct {
	Log   zerolog.Logger
	Count func(name string) // Adds one to a counter, unless nil.

	mu      sync.Mutex
	sources map[source]report // By what was left out.
}

// source tells apart what is left out.
type source struct{ kind, name string }

// report is the latest report of a source.
type report struct {
	revision int64
	logged   time.Time
	seen     time.Time
}

// Report reports that an entry was left out: its kind, such as "node record", its key or
// sender, its revision or 0 if it has none, and why.
func (r *Reporter) Report(now time.Time, kind, name string, revision int64, err error) {
	if r == nil {
		return
	}
	isNew, isLogged := r.note(now, source{kind, cut(name)}, revision)
	if isNew && r.Count != nil {
		r.Count(counter)
	}
	if isLogged {
		r.Log.Warn().Str("Error", cut(err.Error())).Str("Kind", kind).Str("Key", cut(name)).Int64("Revision", revision).Msg("entry left out: it cannot be used")
	}
}

// note notes a report. It returns whether the entry was not reported before, and whether it is
// to be logged.
func (r *Reporter) note(now time.Time, s source, revision int64) (isNew, isLogged bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	last, known := r.sources[s]
	if !known && !r.makeRoom(now) {
		return true, false
	}
	isNew = !known || revision == 0 || last.revision != revision
	isLogged = !known || last.revision != revision || revision == 0 && now.Sub(last.logged) >= repeatInterval
	last.revision, last.seen = revision, now
	if isLogged {
		last.logged = now
	}
	r.sources[s] = last
	return isNew, isLogged
}

// makeRoom makes room for one more source, and reports whether there is any.
func (r *Reporter) makeRoom(now time.Time) bool {
	if r.sources == nil {
		r.sources = make(map[source]report)
	}
	if len(r.sources) < maxSources {
		return true
	}
	for s, last := range r.sources {
		if now.Sub(last.seen) >= forgetAfter {
			delete(r.sources, s)
		}
	}
	return len(r.sources) < maxSources
}

// cut shortens a text that others chose.
func cut(text string) string {
	return text[:min(len(text), maxTextBytes)]
}
