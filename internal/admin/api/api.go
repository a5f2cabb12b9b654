// Package api is the HTTP server of a node's administration API. Requests and
// responses are the JSON messages of package message.
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
	maxBodySize         = document.MaxSize
	publishTimeout      = 15 * time.Second
	inForceTimeout      = 10 * time.Second // How long a publish waits until its revision is in force everywhere.
	inForcePollInterval = 20 * time.Millisecond
	defaultAuditRecords = 20
	bearerPrefix        = "Bearer "
)

// Members gives the node's view of the fleet: the head and configuration that it
// runs and the status of its membership.
type Members interface {
	View() (head.Head, *snapshot.Snapshot)
	Accepted() uint64
	InForce(now time.Time) uint64
	Status(now time.Time) membership.Status
	Refresh(ctx context.Context)
}

// Owner lists the backend servers that the node owns, with their state.
type Owner interface {
	Statuses(now time.Time) []owner.Status
}

// Owners lists the nodes that own backend servers, as far as this node knows.
type Owners interface {
	Owners(now time.Time) []directory.Summary
}

// API holds what the handlers of the administration API read and change. With an
// empty Bootstrap nobody can publish the first set.
type API struct {
	Members   Members
	Store     publisher.Store
	Owner     Owner
	Owners    Owners
	Metrics   http.Handler
	Bootstrap settings.BootstrapOperator
	Log       zerolog.Logger
}

// Handler routes the requests of the API. Status and metrics are open; all other
// paths require the token of an operator.
func (a *API) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+message.StatusPath, a.status)
	mux.Handle("GET "+message.MetricsPath, a.Metrics)
	mux.HandleFunc("GET "+message.ConfigPath, a.requireOperator(a.getConfig))
	mux.HandleFunc("POST "+message.CheckPath, a.requireOperator(a.checkConfig))
	mux.HandleFunc("POST "+message.ConfigPath, a.requireOperator(a.publish))
	mux.HandleFunc("POST "+message.ReinstatePath, a.requireOperator(a.reinstate))
	mux.HandleFunc("GET "+message.AuditPath, a.requireOperator(a.audit))
	mux.HandleFunc("POST "+message.EndedPath, a.requireOperator(a.ended))
	return mux
}

// requireOperator wraps a handler so that it runs only for requests with the token of
// an operator, and passes it the operator's name. Others get status 401.
func (a *API) requireOperator(f func(w http.ResponseWriter, r *http.Request, operator string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		name, ok := a.authenticate(r)
		if !ok {
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeError(w, http.StatusUnauthorized, &message.Error{Code: message.UnknownToken, Message: "the token is not of an operator"})
			return
		}
		f(w, r, name)
	}
}

// authenticate returns the operator whose token the request carries. The bootstrap
// operator from the settings is accepted only until the first publish; after that
// only operators of the published configuration are.
func (a *API) authenticate(r *http.Request) (string, bool) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
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
	writeJSON(w, message.Status{
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
		Pending:        pendingMembers(s),
		Live:           s.Live,
		StoreError:     s.StoreError,
		StoreAt:        s.StoreAt,
		StoreBehind:    s.StoreBehind,
		BackendServers: a.Owner.Statuses(now),
		Owners:         len(a.Owners.Owners(now)),
	})
}

// pendingMembers returns the members of earlier rosters that the head may still
// wait for before it is accepted: those in its pending rosters that are not
// known to have ended.
func pendingMembers(s membership.Status) []member.Member {
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
		writeError(w, http.StatusInternalServerError, &message.Error{Code: message.Unavailable, Message: err.Error()})
		return
	}
	writeJSON(w, message.Config{Revision: h.Revision, Set: text})
}

func (a *API) audit(w http.ResponseWriter, r *http.Request, _ string) {
	limit := defaultAuditRecords
	if text := r.URL.Query().Get("Limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > audit.MaxRecords {
			writeError(w, http.StatusBadRequest, &message.Error{Code: message.Malformed, Message: "Limit is not a number from 1 to " + strconv.Itoa(audit.MaxRecords)})
			return
		}
		limit = n
	}
	ctx, cancel := context.WithTimeout(r.Context(), publishTimeout)
	defer cancel()
	records, err := (&publisher.Publisher{Store: a.Store}).Audit(ctx, limit)
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, &message.Error{Code: message.Unavailable, Message: err.Error()})
		return
	}
	writeJSON(w, records)
}

// decodeBody decodes a JSON request body of at most maxBodySize bytes into value.
// Unknown fields are errors. If it fails, it writes the error response and
// returns false.
func decodeBody(w http.ResponseWriter, r *http.Request, value any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodySize))
	d.DisallowUnknownFields()
	if err := d.Decode(value); err != nil {
		writeError(w, http.StatusBadRequest, &message.Error{Code: message.Malformed, Message: err.Error()})
		return false
	}
	return true
}

// writeError writes an error response as JSON.
func writeError(w http.ResponseWriter, status int, e *message.Error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(e)
}

// writeJSON writes value as the response, with status 200.
func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
