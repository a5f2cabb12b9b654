// Package api serves the administration API of a node.
package api

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"filbertturn.example/filbertturn/internal/admin/message"
	"filbertturn.example/filbertturn/internal/config/audit"
	"filbertturn.example/filbertturn/internal/config/document"
	"filbertturn.example/filbertturn/internal/config/publisher"
	"filbertturn.example/filbertturn/internal/config/set"
	"filbertturn.example/filbertturn/internal/config/snapshot"
	"filbertturn.example/filbertturn/internal/fleet/head"
	"filbertturn.example/filbertturn/internal/fleet/member"
	"filbertturn.example/filbertturn/internal/node/membership"
	"filbertturn.example/filbertturn/internal/node/owner"
	"filbertturn.example/filbertturn/internal/node/settings"
	"filbertturn.example/filbertturn/internal/route/directory"
)

const (
	maxBody        = document.MaxSize
	publishTimeout = 15 * time.Second
	forceTimeout   = 10 * time.Second // Time that a publish waits to be in force everywhere.
	forcePoll      = 20 * time.Millisecond
	defaultAudit   = 20
	bearer         = "Bearer "
)

// Members is the node's view of the fleet.
type Members interface {
	View() (head.Head, *snapshot.Snapshot)
	Accepted() uint64
	InForce(now time.Time) uint64
	Status(now time.Time) membership.Status
	Refresh(ctx context.Context)
}

// Owner lists the backend servers of the node.
type Owner interface {
	Statuses(now time.Time) []owner.Status
}

// Owners lists the owners that the node knows.
type Owners interface {
	Owners(now time.Time) []directory.Summary
}

// API is the administration API.
type API struct {
	Members   Members
	Store     publisher.Store
	Owner     Owner
	Owners    Owners
	Metrics   http.Handler
	Bootstrap settings.BootstrapOperator
	Log       zerolog.Logger
}

// Handler returns the mux of the API.
func (a *API) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+message.StatusPath, a.status)
	mux.Handle("GET "+message.MetricsPath, a.Metrics)
	mux.HandleFunc("GET "+message.ConfigPath, a.operator(a.getConfig))
	mux.HandleFunc("POST "+message.CheckPath, a.operator(a.checkConfig))
	mux.HandleFunc("POST "+message.ConfigPath, a.operator(a.publish))
	mux.HandleFunc("POST "+message.ReinstatePath, a.operator(a.reinstate))
	mux.HandleFunc("GET "+message.AuditPath, a.operator(a.audit))
	mux.HandleFunc("POST "+message.EndedPath, a.operator(a.ended))
	return mux
}

// operator lets only operators in and passes on the operator's name.
func (a *API) operator(f func(w http.ResponseWriter, r *http.Request, operator string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		name, ok := a.authenticate(r)
		if !ok {
			w.Header().Set("WWW-Authenticate", "Bearer")
			refuse(w, http.StatusUnauthorized, &message.Error{Code: message.UnknownToken, Message: "the token is not of an operator"})
			return
		}
		f(w, r, name)
	}
}

// authenticate accepts the operator of the settings only while nothing has been
// published.
func (a *API) authenticate(r *http.Request) (string, bool) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearer)
	if !ok {
		return "", false
	}
	hash := sha256.Sum256([]byte(token))
	_, config := a.Members.View()
	if config != nil {
		o, found := config.Operator(hash)
		return o.Name, found
	}
	ok = a.Bootstrap.Hash != "" && hex.EncodeToString(hash[:]) == a.Bootstrap.Hash
	return a.Bootstrap.Name, ok
}

func (a *API) status(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	s := a.Members.Status(now)
	reply(w, message.Status{
		Member:         s.Member,
		Current:        s.Quorum.Current,
		CurrentBy:      s.Quorum.By.String(),
		Reason:         s.Quorum.Reason,
		Sequence:       s.Head.Sequence,
		Revision:       s.Head.Revision,
		Epoch:          s.Head.Epoch,
		Accepted:       s.Accepted,
		InForce:        s.InForce,
		Newest:         s.Newest,
		Roster:         s.Head.Roster,
		Pending:        pending(s),
		Live:           s.Live,
		StoreError:     s.StoreError,
		StoreAt:        s.StoreAt,
		StoreBehind:    s.StoreBehind,
		BackendServers: a.Owner.Statuses(now),
		Owners:         len(a.Owners.Owners(now)),
	})
}

// pending returns the members that the acceptance of the head may wait for.
func pending(s membership.Status) []member.Member {
	if s.Accepted >= s.Head.Sequence {
		return nil
	}
	list := slices.Concat(s.Head.Pending...)
	list = slices.DeleteFunc(list, func(m member.Member) bool { return slices.Contains(s.Head.Ended, m) })
	slices.SortFunc(list, member.Member.Compare)
	return slices.Compact(list)
}

func (a *API) getConfig(w http.ResponseWriter, _ *http.Request, _ string) {
	h, config := a.Members.View()
	var s set.Set
	if config != nil {
		s = config.Set()
	}
	text, err := document.Encode(s)
	if err != nil {
		refuse(w, http.StatusInternalServerError, &message.Error{Code: message.Unavailable, Message: err.Error()})
		return
	}
	reply(w, message.Config{Revision: h.Revision, Set: text})
}

func (a *API) audit(w http.ResponseWriter, r *http.Request, _ string) {
	limit := defaultAudit
	if text := r.URL.Query().Get("Limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > audit.Kept {
			refuse(w, http.StatusBadRequest, &message.Error{Code: message.Malformed, Message: "Limit is not a number from 1 to " + strconv.Itoa(audit.Kept)})
			return
		}
		limit = n
	}
	ctx, cancel := context.WithTimeout(r.Context(), publishTimeout)
	defer cancel()
	records, err := (&publisher.Publisher{Store: a.Store}).Audit(ctx, limit)
	if err != nil {
		refuse(w, http.StatusServiceUnavailable, &message.Error{Code: message.Unavailable, Message: err.Error()})
		return
	}
	reply(w, records)
}

func read(w http.ResponseWriter, r *http.Request, value any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
	d.DisallowUnknownFields()
	if err := d.Decode(value); err != nil {
		refuse(w, http.StatusBadRequest, &message.Error{Code: message.Malformed, Message: err.Error()})
		return false
	}
	return true
}

func refuse(w http.ResponseWriter, status int, e *message.Error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(e)
}

func reply(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
