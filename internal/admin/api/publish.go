package api

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"
	"slices"
	"time"

	"filbertturn.example/filbertturn/internal/admin/message"
	"filbertturn.example/filbertturn/internal/config/check"
	"filbertturn.example/filbertturn/internal/config/document"
	"filbertturn.example/filbertturn/internal/config/publisher"
	"filbertturn.example/filbertturn/internal/config/set"
	"filbertturn.example/filbertturn/internal/fleet/head"
	"filbertturn.example/filbertturn/internal/fleet/member"
	"filbertturn.example/filbertturn/internal/fleet/transition"
)

func (a *API) checkConfig(w http.ResponseWriter, r *http.Request, _ string) {
	_, s, ok := readPublish(w, r)
	if !ok {
		return
	}
	if problems := append(check.Check(s), check.PlatformOnlyFields(s)...); len(problems) > 0 {
		writeError(w, http.StatusUnprocessableEntity, invalidSet(problems))
		return
	}
	writeJSON(w, struct{}{})
}

func (a *API) publish(w http.ResponseWriter, r *http.Request, operator string) {
	p, s, ok := readPublish(w, r)
	if !ok {
		return
	}
	// The decoded document and set take several times the memory of the compiled
	// configuration that the node keeps, so the freed memory is returned to the
	// operating system at once.
	defer debug.FreeOSMemory()
	// A client that disconnects must not cancel a publish between its writes to the
	// store.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), publishTimeout)
	defer cancel()
	h, _ := a.Members.View()
	result, err := a.publisher().Publish(ctx, publisher.Request{
		Set: s, Base: p.Base, PublishID: p.PublishID, Operator: operator, Time: time.Now().UTC(), Known: h,
	})
	a.Log.Info().AnErr("Error", err).Str("Operator", operator).Uint64("Base", p.Base).Uint64("Revision", result.Record.To).
		Str("PublishID", p.PublishID).Msg("publish requested by an operator")
	if err != nil {
		writePublishError(w, err)
		return
	}
	a.Members.Refresh(ctx)
	writeJSON(w, message.Published{
		Revision: result.Record.To,
		Sequence: result.Head.Sequence,
		InForce:  a.waitInForce(ctx, result.Head.Sequence),
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
		writeError(w, http.StatusServiceUnavailable, &message.Error{Code: message.Unpublished, Message: "the node has no configuration"})
		return
	}
	pub := a.publisher()
	err := pub.Reinstate(ctx, publisher.Reinstatement{Known: h, Set: config.Set(), Operator: operator, Time: time.Now().UTC()})
	a.Log.Warn().AnErr("Error", err).Str("Operator", operator).Uint64("Revision", h.Revision).Msg("reinstatement of the store requested by an operator")
	if err != nil {
		writePublishError(w, err)
		return
	}
	a.Members.Refresh(ctx)
	writeJSON(w, struct{}{})
}

// publisher returns a publisher whose new heads follow from the base head and from
// whether this node knows that head to be accepted.
func (a *API) publisher() *publisher.Publisher {
	accepted := a.Members.Accepted()
	return &publisher.Publisher{Store: a.Store, Next: func(base head.Head, revision uint64, manifest string) head.Head {
		return transition.Next(base, accepted >= base.Sequence, transition.Change{Revision: revision, Manifest: manifest})
	}}
}

// waitInForce waits until no node is current on a head older than sequence. It returns
// false if that takes longer than inForceTimeout.
func (a *API) waitInForce(ctx context.Context, sequence uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	t := time.NewTicker(inForcePollInterval)
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

// ended commits the removal of members that have stopped, according to an operator,
// to the store, so that it stays valid if this node fails.
func (a *API) ended(w http.ResponseWriter, r *http.Request, operator string) {
	var e message.Ended
	if !decodeBody(w, r, &e) {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), publishTimeout)
	defer cancel()
	known, _ := a.Members.View()
	members, unknown := resolveMembers(known, e.Members)
	if len(unknown) > 0 {
		writeError(w, http.StatusBadRequest, &message.Error{Code: message.Malformed, Message: fmt.Sprintf("no change waits for %v", unknown)})
		return
	}
	accepted := a.Members.Accepted()
	h, err := a.publisher().RemoveMembers(ctx, publisher.MemberRemoval{
		Members: members, Known: known, Operator: operator, Time: time.Now().UTC(),
		Next: func(base head.Head, revision uint64) (head.Head, bool) {
			change := transition.Change{Revision: revision, Manifest: base.Manifest, Ended: members}
			return transition.Next(base, accepted >= base.Sequence, change), !haveEnded(base, members)
		},
	})
	a.Log.Warn().AnErr("Error", err).Str("Operator", operator).Any("Members", members).Msg("operator asserts that members have ended")
	if err != nil {
		writePublishError(w, err)
		return
	}
	a.Members.Refresh(ctx)
	writeJSON(w, message.Published{Revision: h.Revision, Sequence: h.Sequence, InForce: a.waitInForce(ctx, h.Sequence)})
}

// resolveMembers looks up members by address and incarnation in the roster and the
// pending rosters of the head. Those that are in neither are returned as unknown.
func resolveMembers(h head.Head, named []member.Member) (found, unknown []member.Member) {
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

// haveEnded reports whether a head waits for none of the members: none is in its
// roster, and those in pending rosters are already known to have ended.
func haveEnded(h head.Head, members []member.Member) bool {
	awaited := func(m member.Member) bool {
		if slices.Contains(h.Roster, m) {
			return true
		}
		pending := slices.ContainsFunc(h.Pending, func(roster []member.Member) bool { return slices.Contains(roster, m) })
		return pending && !slices.Contains(h.Ended, m)
	}
	return !slices.ContainsFunc(members, awaited)
}

// readPublish decodes a publish request and its set. If it fails, it writes the
// error response and returns false.
func readPublish(w http.ResponseWriter, r *http.Request) (message.Publish, set.Set, bool) {
	var p message.Publish
	if !decodeBody(w, r, &p) {
		return message.Publish{}, set.Set{}, false
	}
	s, ok := decodeSet(w, p.Set)
	return p, s, ok
}

// decodeSet decodes the document of a set. If it fails, it writes an error response
// that lists the syntax errors, and returns false.
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
	writeError(w, http.StatusBadRequest, e)
	return set.Set{}, false
}

func invalidSet(problems []check.Problem) *message.Error {
	return &message.Error{Code: message.Invalid, Message: "the set has problems", Problems: problems}
}

// writePublishError maps an error of the publisher to an HTTP status and code.
func writePublishError(w http.ResponseWriter, err error) {
	var (
		bad      *publisher.InvalidError
		conflict *publisher.ConflictError
		request  *publisher.RequestError
		reused   *publisher.ReusedError
		unknown  *publisher.UnknownOutcomeError
	)
	switch {
	case errors.As(err, &bad):
		writeError(w, http.StatusUnprocessableEntity, invalidSet(bad.Problems))
	case errors.As(err, &conflict):
		writeError(w, http.StatusConflict, &message.Error{
			Code: message.Conflict, Message: err.Error(), Base: conflict.Base, Current: conflict.Current, Changes: conflict.Changes,
		})
	case errors.As(err, &request), errors.As(err, &reused):
		writeError(w, http.StatusBadRequest, &message.Error{Code: message.Malformed, Message: err.Error()})
	case errors.As(err, &unknown):
		writeError(w, http.StatusGatewayTimeout, &message.Error{Code: message.Unknown, Message: err.Error()})
	default:
		writeError(w, http.StatusServiceUnavailable, &message.Error{Code: message.Unpublished, Message: err.Error()})
	}
}
