package store

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// Fault says how the stand-in fails. Its zero value is no fault.
type Fault struct {
	Outage          bool          // Every call is cut off without effect.
	Delay           time.Duration // Time that each call waits before it takes effect.
	LoseNext        int           // Number of next writes whose answers are lost after they took effect.
	LoseProbability float64       // Part of the other writes whose answers are lost likewise, from 0 to 1.
}

// Control is the body of POST /control; a field that is absent changes nothing.
type Control struct {
	Outage          *bool
	Delay           *string // As for time.ParseDuration.
	LoseNext        *int
	LoseProbability *float64
	Restore         *int64 `json:",omitempty"` // Store revision whose state returns.
}

// state is the answer of /control.
type state struct {
	Control
	Revision int64
}

// Fail switches the faults.
func (s *Store) Fail(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Restore brings back the state at an earlier revision, and with it that
// revision, as a restored backup does.
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
		s.replace(s.history[n-1].key, s.history[n-1].before)
		s.history = s.history[:n-1]
	}
	s.revision = revision
	return nil
}

func (s *Store) serveFault(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	f, revision := s.fault, s.revision
	s.mu.Unlock()
	delay := f.Delay.String()
	answer(w, state{
		Control:  Control{Outage: &f.Outage, Delay: &delay, LoseNext: &f.LoseNext, LoseProbability: &f.LoseProbability},
		Revision: revision,
	})
}

func (s *Store) serveCounts(w http.ResponseWriter, _ *http.Request) {
	answer(w, s.Counts())
}

func (s *Store) serveControl(w http.ResponseWriter, r *http.Request) {
	var c Control
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestSize))
	d.DisallowUnknownFields()
	if err := d.Decode(&c); err != nil {
		reject(w, err)
		return
	}
	if err := s.control(c); err != nil {
		reject(w, err)
		return
	}
	s.serveFault(w, r)
}

func (s *Store) control(c Control) error {
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

func answer(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
