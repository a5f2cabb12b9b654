// Package api serves the administration API of a node.
package api

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"filbertturn.example/filbertturn/internal/admin/message"
	"filbertturn.example/filbertturn/internal/config/audit"
	"filbertturn.example/filbertturn/internal/config/check"
	"filbertturn.example/filbertturn/internal/config/document"
	"filbertturn.example/filbertturn/internal/config/publisher"
	"filbertturn.example/filbertturn/internal/config/set"
	"filbertturn.example/filbertturn/internal/config/snapshot"
	"filbertturn.example/filbertturn/internal/fleet/head"
	"filbertturn.example/filbertturn/internal/fleet/member"
	"filbertturn.example/filbertturn/internal/fleet/succession"
	"filbertturn.example/filbertturn/internal/node/membership"
	"filbertturn.example/filbertturn/internal/node/owner"
	"filbertturn.example/filbertturn/internal/node/settings"
	"filbertturn.example/filbertturn/internal/route/directory"
)

const (
	maxBody        = document.MaxSize
	publishTimeout = 15 * time.Second
	forceTimeout   = 5 * time.Second // Time that a publish waits to be in force everywhere.
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
	Bootstrap settings.Bootstrap
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
		Current:        s.Verdict.Current,
		CurrentBy:      s.Verdict.By.String(),
		Reason:         s.Verdict.Reason,
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

func (a *API) checkConfig(w http.ResponseWriter, r *http.Request, _ string) {
	var p message.Publish
	if !read(w, r, &p) {
		return
	}
	s, ok := decodeSet(w, p.Set)
	if !ok {
		return
	}
	if problems := check.Check(s); len(problems) > 0 {
		refuse(w, http.StatusUnprocessableEntity, invalid(problems))
		return
	}
	reply(w, struct{}{})
}

func (a *API) publish(w http.ResponseWriter, r *http.Request, operator string) {
	var p message.Publish
	if !read(w, r, &p) {
		return
	}
	s, ok := decodeSet(w, p.Set)
	if !ok {
		return
	}
	// A caller that leaves does not stop a publish half way.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), publishTimeout)
	defer cancel()
	h, _ := a.Members.View()
	result, err := a.publisher().Publish(ctx, publisher.Request{
		Set: s, Base: p.Base, PublishID: p.PublishID, Operator: operator, Time: time.Now().UTC(), Known: h,
	})
	a.Log.Info().AnErr("Error", err).Str("Operator", operator).Uint64("Base", p.Base).Uint64("Revision", result.Record.To).
		Str("PublishID", p.PublishID).Msg("publish")
	if err != nil {
		refusePublish(w, err)
		return
	}
	a.Members.Refresh(ctx)
	reply(w, message.Published{
		Revision: result.Record.To,
		Sequence: result.Head.Sequence,
		InForce:  a.waitForce(ctx, result.Head.Sequence),
		Changes:  result.Record.Changes,
	})
}

// reinstate writes the configuration that the fleet runs to a store that was
// restored to an older state.
func (a *API) reinstate(w http.ResponseWriter, r *http.Request, operator string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), publishTimeout)
	defer cancel()
	h, config := a.Members.View()
	if config == nil {
		refuse(w, http.StatusServiceUnavailable, &message.Error{Code: message.Unpublished, Message: "the node has no configuration"})
		return
	}
	pub := a.publisher()
	err := pub.Reinstate(ctx, publisher.Reinstatement{Known: h, Set: config.Set(), Operator: operator, Time: time.Now().UTC()})
	a.Log.Warn().AnErr("Error", err).Str("Operator", operator).Uint64("Revision", h.Revision).Msg("reinstate")
	if err != nil {
		refusePublish(w, err)
		return
	}
	a.Members.Refresh(ctx)
	reply(w, struct{}{})
}

// publisher returns a publisher that makes heads for the present roster.
func (a *API) publisher() *publisher.Publisher {
	accepted := a.Members.Accepted()
	return &publisher.Publisher{Store: a.Store, Next: func(base head.Head, revision uint64, manifest string) head.Head {
		return succession.Next(base, accepted >= base.Sequence, succession.Change{Revision: revision, Manifest: manifest})
	}}
}

// waitForce waits until no node is current on an older head.
func (a *API) waitForce(ctx context.Context, sequence uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, forceTimeout)
	defer cancel()
	t := time.NewTicker(forcePoll)
	defer t.Stop()
	for {
		if a.Members.InForce(time.Now()) >= sequence {
			return true
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return false
		}
	}
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

// ended writes the operator's assertion to the store, so that it holds whatever
// becomes of this node.
func (a *API) ended(w http.ResponseWriter, r *http.Request, operator string) {
	var e message.Ended
	if !read(w, r, &e) {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), publishTimeout)
	defer cancel()
	known, _ := a.Members.View()
	members, unknown := resolve(known, e.Members)
	if len(unknown) > 0 {
		refuse(w, http.StatusBadRequest, &message.Error{Code: message.Malformed, Message: fmt.Sprintf("no change waits for %v", unknown)})
		return
	}
	accepted := a.Members.Accepted()
	h, err := a.publisher().Assert(ctx, publisher.Assertion{
		Members: members, Known: known, Operator: operator, Time: time.Now().UTC(),
		Next: func(base head.Head, revision uint64) (head.Head, bool) {
			change := succession.Change{Revision: revision, Manifest: base.Manifest, Ended: members}
			return succession.Next(base, accepted >= base.Sequence, change), !haveEnded(base, members)
		},
	})
	a.Log.Warn().AnErr("Error", err).Str("Operator", operator).Any("Members", members).Msg("operator asserts that members have ended")
	if err != nil {
		refusePublish(w, err)
		return
	}
	a.Members.Refresh(ctx)
	reply(w, message.Published{Revision: h.Revision, Sequence: h.Sequence, InForce: a.waitForce(ctx, h.Sequence)})
}

// resolve finds members by address and incarnation among those that the head
// lists or waits for.
func resolve(h head.Head, named []member.Member) (found, unknown []member.Member) {
	all := append(slices.Concat(h.Pending...), h.Roster...)
	for _, n := range named {
		i := slices.IndexFunc(all, func(m member.Member) bool { return m.Compare(n) == 0 })
		if i < 0 {
			unknown = append(unknown, n)
			continue
		}
		found = append(found, all[i])
	}
	return found, unknown
}

// haveEnded tells whether a head waits for none of the members.
func haveEnded(h head.Head, members []member.Member) bool {
	waits := func(m member.Member) bool {
		if slices.Contains(h.Roster, m) {
			return true
		}
		pending := slices.ContainsFunc(h.Pending, func(roster []member.Member) bool { return slices.Contains(roster, m) })
		return pending && !slices.Contains(h.Ended, m)
	}
	return !slices.ContainsFunc(members, waits)
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

func decodeSet(w http.ResponseWriter, text []byte) (set.Set, bool) {
	s, err := document.Decode(text)
	if err == nil {
		return s, true
	}
	e := &message.Error{Code: message.Malformed, Message: err.Error()}
	var syntax *document.Error
	if errors.As(err, &syntax) {
		e.Syntax = syntax.Problems
	}
	refuse(w, http.StatusBadRequest, e)
	return set.Set{}, false
}

func invalid(problems []check.Problem) *message.Error {
	return &message.Error{Code: message.Invalid, Message: "the set has problems", Problems: problems}
}

func refusePublish(w http.ResponseWriter, err error) {
	var (
		bad      *publisher.InvalidError
		conflict *publisher.ConflictError
		request  *publisher.RequestError
		reused   *publisher.ReusedError
		unknown  *publisher.UnknownError
	)
	switch {
	case errors.As(err, &bad):
		refuse(w, http.StatusUnprocessableEntity, invalid(bad.Problems))
	case errors.As(err, &conflict):
		refuse(w, http.StatusConflict, &message.Error{
			Code: message.Conflict, Message: err.Error(), Base: conflict.Base, Current: conflict.Current, Changes: conflict.Changes,
		})
	case errors.As(err, &request), errors.As(err, &reused):
		refuse(w, http.StatusBadRequest, &message.Error{Code: message.Malformed, Message: err.Error()})
	case errors.As(err, &unknown):
		refuse(w, http.StatusGatewayTimeout, &message.Error{Code: message.Unknown, Message: err.Error()})
	default:
		refuse(w, http.StatusServiceUnavailable, &message.Error{Code: message.Unpublished, Message: err.Error()})
	}
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
