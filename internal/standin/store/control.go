package store

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// Fault is the injected fault. The zero value is no fault.
type Fault struct {
	Outage          bool          // The connection of every call is closed without effect.
	Delay           time.Duration // Delay before each call takes effect.
	LoseNext        int           // Number of next writes that take effect but get no response.
	LoseProbability float64       // Probability, from 0 to 1, that any other write takes effect but gets no response.
}

// Control is the body of POST /control. An absent field leaves the setting as it is.
type Control struct {
	Outage          *bool
	Delay           *string // In the format of time.ParseDuration.
	LoseNext        *int
	LoseProbability *float64
	Restore         *int64 `json:",omitempty"` // Revision to restore.
}

// state is the response of /control.
type state struct {
	Control
	Revision int64
}

// Fail replaces the injected fault.
func (s *Store) Fail(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Restore returns the store to the state and the revision number of an earlier
// revision, like a restored backup. It returns an error if the revision is in the
// future or older than the history.
func (s *Store) Restore(revision int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	oldest := s.revision
	if len(s.history) > 0 {
		oldest = s.history[0].revision - 1
	}
	if revision < oldest || revision > s.revision {
		return fmt.Errorf("revision %d is not between %d and %d", revision, oldest, s.revision)
	}
	for n := len(s.history); n > 0 && s.history[n-1].revision > revision; n-- {
		s.replaceEntry(s.history[n-1].key, s.history[n-1].before)
		s.history = s.history[:n-1]
	}
	s.revision = revision
	return nil
}

func (s *Store) serveState(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	f, revision := s.fault, s.revision
	s.mu.Unlock()
	delay := f.Delay.String()
	writeJSON(w, state{
		Control:  Control{Outage: &f.Outage, Delay: &delay, LoseNext: &f.LoseNext, LoseProbability: &f.LoseProbability},
		Revision: revision,
	})
}

func (s *Store) serveCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.Counts())
}

func (s *Store) serveControl(w http.ResponseWriter, r *http.Request) {
	var c Control
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestSize))
	d.DisallowUnknownFields()
	if err := d.Decode(&c); err != nil {
		writeError(w, err)
		return
	}
	if err := s.applyControl(c); err != nil {
		writeError(w, err)
		return
	}
	s.serveState(w, r)
}

// applyControl applies the fields that are present. It changes nothing if one of them
// is invalid.
func (s *Store) applyControl(c Control) error {
	var delay time.Duration
	if c.Delay != nil {
		var err error
		if delay, err = time.ParseDuration(*c.Delay); err != nil {
			return err
		}
	}
	if c.Restore != nil {
		if err := s.Restore(*c.Restore); err != nil {
			return err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.Outage != nil {
		s.fault.Outage = *c.Outage
	}
	if c.Delay != nil {
		s.fault.Delay = delay
	}
	if c.LoseNext != nil {
		s.fault.LoseNext = *c.LoseNext
	}
	if c.LoseProbability != nil {
		s.fault.LoseProbability = *c.LoseProbability
	}
	return nil
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
