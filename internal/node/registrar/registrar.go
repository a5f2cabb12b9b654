// Package registrar receives the heartbeats of backend servers, forwards them to the nodes
// that own the backend servers, and exchanges summaries of the owners' capacity among nodes.
package registrar

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"filbertturn.example/filbertturn/internal/backend/lease"
	"filbertturn.example/filbertturn/internal/clock/timer"
	"filbertturn.example/filbertturn/internal/fleet/member"
	"filbertturn.example/filbertturn/internal/fleet/placement"
	"filbertturn.example/filbertturn/internal/keyvalue/entry"
	"filbertturn.example/filbertturn/internal/node/leftout"
	"filbertturn.example/filbertturn/internal/node/owner"
	"filbertturn.example/filbertturn/internal/peer/peerpb"
	"filbertturn.example/filbertturn/internal/peer/question"
	"filbertturn.example/filbertturn/internal/route/directory"
)

const (
	ownerTimeout           = 300 * time.Millisecond // Timeout of forwarding an announcement to one candidate owner.
	maxOwners              = 4                      // Candidate owners that an announcement is sent to in turn.
	maxAnnouncementBytes   = 4 << 10                // Of the JSON form.
	maxServiceBytes        = 256                    // Of a service's name.
	maxSlots               = 1 << 16                // Concurrent requests of one backend server.
	maxSequence            = 1 << 53                // Up to which JSON numbers are exact for all writers.
	maxClockError          = 24 * time.Hour         // Time by which a backend server may have started in the future.
	maxLifetime            = time.Hour              // Of a summary.
	maxCapacity            = 1 << 30                // Slots of all backend servers of an owner.
	tickInterval           = 100 * time.Millisecond
	minSummaryInterval     = time.Second           // Least interval between summaries without a change.
	summaryIntervalPerNode = 50 * time.Millisecond // Least interval for each member of the fleet, which bounds the traffic.
	summaryTimeout         = time.Second
	lifetimeIntervals      = 3                     // Lifetime of a summary, in intervals.
	publishDelay           = 20 * time.Millisecond // Time for which changes are collected into one summary.
)

// Members lists the nodes that can own backend servers.
type Members interface {
	Live(now time.Time) []member.Member
}

// Mesh sends requests to other nodes.
type Mesh interface {
	Ask(ctx context.Context, to netip.AddrPort, kind uint32, payload []byte) ([]byte, error)
}

// Directory stores the latest summary of each owner.
type Directory interface {
	UpdateSummary(now time.Time, s directory.Summary)
	Expire(now time.Time)
}

// Registrar serves the heartbeats of backend servers and publishes the node's capacity.
type Registrar struct {
	Self      member.Member
	Members   Members
	Owner     *owner.Owner
	Directory Directory
	Mesh      Mesh
	Log       zerolog.Logger
	LeftOut   *leftout.Reporter // Of announcements that cannot be used; nil for none.

	mu            sync.Mutex      // Guards the fields below.
	running       context.Context // Cancelled when the node stops; nil before Start.
	pending       bool            // A call of publish is scheduled.
	lastPublished time.Time       // When this node last published its summary.
	sequence      uint64
}

// Announcement is the JSON form of a backend server's heartbeat.
type Announcement struct {
	BackendServer netip.AddrPort
	Service       string
	DataCentre    string
	Slots         int
	State         string // Starting, Ready or Draining.
	Incarnation   uint64 // Start time of the backend server, in nanoseconds since 1970.
	Sequence      uint64 // Increases with each announcement of one incarnation.
}

// Start publishes this node's summary and expires those of others, periodically until
// timers stops. Requests to other nodes end with ctx.
func (r *Registrar) Start(ctx context.Context, timers *timer.Service) {
	r.mu.Lock()
	r.running = ctx
	r.mu.Unlock()
	timers.Subscribe(tickInterval, func(t timer.Tick) {
		r.Directory.Expire(t.Now)
		r.publishIfDue(ctx, t.Now)
	})
}

// Handler returns the HTTP handler for backend servers, which send their announcements to
// POST /announce.
func (r *Registrar) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /announce", r.announce)
	return mux
}

func (r *Registrar) announce(w http.ResponseWriter, req *http.Request) {
	l, err := readAnnouncement(http.MaxBytesReader(w, req.Body, maxAnnouncementBytes))
	if err != nil {
		from, _, _ := net.SplitHostPort(req.RemoteAddr)
		r.LeftOut.Report(time.Now(), "announcement", from, 0, err)
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ownerAddress, err := r.assignOwner(req.Context(), l)
	if err != nil {
		http.Error(w, "no node can own the backend server: "+err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(struct{ Owner netip.AddrPort }{ownerAddress})
}

// readAnnouncement reads an announcement, which is one object without unknown fields.
func readAnnouncement(body io.Reader) (lease.Announcement, error) {
	text, err := io.ReadAll(body)
	if err != nil {
		return lease.Announcement{}, err
	}
	var a Announcement
	if err := entry.Decode(text, maxAnnouncementBytes, &a); err != nil {
		return lease.Announcement{}, err
	}
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&a); err != nil {
		return lease.Announcement{}, err
	}
	return a.toLease()
}

// toLease converts and validates an announcement.
func (a Announcement) toLease() (lease.Announcement, error) {
	states := map[string]lease.State{"Starting": lease.Starting, "Ready": lease.Ready, "Draining": lease.Draining}
	state, ok := states[a.State]
	if !ok {
		return lease.Announcement{}, errors.New("field State is none of Starting, Ready and Draining")
	}
	l := lease.Announcement{
		BackendServer: a.BackendServer, Service: a.Service, DataCentre: a.DataCentre, Slots: a.Slots,
		State: state, Incarnation: a.Incarnation, Sequence: a.Sequence,
	}
	return l, validate(time.Now(), l)
}

// validate rejects announcements with which a backend server could not be reached, would
// get a capacity or state that does not exist, or would have its later ones count as older.
func validate(now time.Time, a lease.Announcement) error {
	switch {
	case !member.IsAddress(a.BackendServer):
		return errors.New("field BackendServer is not an address IP:PORT")
	case a.Service == "" || len(a.Service) > maxServiceBytes:
		return errors.New("field Service is empty or too long")
	case a.Slots < 1 || a.Slots > maxSlots:
		return errors.New("field Slots is not a number from 1 to " + strconv.Itoa(maxSlots))
	case len(a.DataCentre) > maxServiceBytes:
		return errors.New("field DataCentre is too long")
	case a.Incarnation > uint64(now.Add(maxClockError).UnixNano()):
		return errors.New("field Incarnation is a start in the future")
	case a.Sequence > maxSequence:
		return errors.New("field Sequence is not a number up to " + strconv.Itoa(maxSequence))
	case a.State > lease.Draining:
		return errors.New("field State is not known")
	}
	return nil
}

// assignOwner sends an announcement to the candidate owners of the backend server until one
// accepts it, and returns the owner's address. All nodes compute the same order of candidates.
func (r *Registrar) assignOwner(ctx context.Context, a lease.Announcement) (netip.AddrPort, error) {
	candidates := placement.Nearest(a.BackendServer.String(), a.DataCentre, r.Members.Live(time.Now()))
	if len(candidates) == 0 {
		return netip.AddrPort{}, errors.New("the roster is not known yet")
	}
	var err error
	for _, m := range candidates[:min(maxOwners, len(candidates))] {
		if err = r.sendToOwner(ctx, m, a); err == nil {
			return m.Address, nil
		}
	}
	return netip.AddrPort{}, err
}

func (r *Registrar) sendToOwner(ctx context.Context, m member.Member, a lease.Announcement) error {
	if m == r.Self {
		return r.Owner.Heartbeat(time.Now(), a)
	}
	payload, err := proto.Marshal(&peerpb.Announcement{
		BackendServer: a.BackendServer.String(),
		Service:       a.Service,
		DataCentre:    a.DataCentre,
		Slots:         uint32(a.Slots),
		State:         uint32(a.State),
		Incarnation:   a.Incarnation,
		Sequence:      a.Sequence,
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	_, err = r.Mesh.Ask(ctx, m.Address, question.Heartbeat, payload)
	return err
}

// AnswerAnnounce handles an announcement that another node forwarded.
func (r *Registrar) AnswerAnnounce(payload []byte) error {
	var w peerpb.Announcement
	if err := proto.Unmarshal(payload, &w); err != nil {
		return err
	}
	address, err := netip.ParseAddrPort(w.GetBackendServer())
	if err != nil {
		return err
	}
	a := lease.Announcement{
		BackendServer: address,
		Service:       w.GetService(),
		DataCentre:    w.GetDataCentre(),
		Slots:         int(w.GetSlots()),
		State:         decodeState(w.GetState()),
		Incarnation:   w.GetIncarnation(),
		Sequence:      w.GetSequence(),
	}
	if err := validate(time.Now(), a); err != nil {
		return err
	}
	return r.Owner.Heartbeat(time.Now(), a)
}

// decodeState converts the number of a state. It saturates, so that a number beyond a byte
// does not wrap around to a valid state.
func decodeState(n uint32) lease.State {
	return lease.State(min(n, math.MaxUint8))
}

// SchedulePublish schedules a summary to all nodes after a change of this node's capacity.
// Changes within publishDelay share one summary.
func (r *Registrar) SchedulePublish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pending || r.running == nil {
		return
	}
	r.pending = true
	time.AfterFunc(publishDelay, func() { r.publish(r.running, time.Now()) })
}

// SummaryInterval returns the time between summaries without a change, for a fleet of
// n members.
func SummaryInterval(n int) time.Duration {
	return max(minSummaryInterval, time.Duration(n)*summaryIntervalPerNode)
}

func (r *Registrar) publishIfDue(ctx context.Context, now time.Time) {
	interval := SummaryInterval(len(r.Members.Live(now)))
	r.mu.Lock()
	due := now.Sub(r.lastPublished) >= interval
	r.mu.Unlock()
	if due {
		r.publish(ctx, now)
	}
}

// Publish sends this node's summary to all nodes, and waits until they have received it, for summaryTimeout at
// most.
func (r *Registrar) Publish(ctx context.Context, now time.Time) {
	r.publish(ctx, now).Wait()
}

// publish sends this node's summary to all nodes. The result waits for their replies.
func (r *Registrar) publish(ctx context.Context, now time.Time) *sync.WaitGroup {
	sent := new(sync.WaitGroup)
	r.mu.Lock()
	r.pending = false
	r.lastPublished = now
	r.mu.Unlock()
	w := r.ownSummary(now)
	if s, err := decodeSummary(w); err == nil {
		r.Directory.UpdateSummary(now, s)
	}
	payload, err := proto.Marshal(w)
	if err != nil {
		return sent
	}
	live := r.Members.Live(now)
	if !slices.Contains(live, r.Self) {
		r.PullSummaries(ctx, now)
		return sent
	}
	for _, m := range live {
		if m.Address != r.Self.Address {
			sent.Go(func() { r.sendSummary(ctx, m.Address, payload) })
		}
	}
	return sent
}

// ownSummary returns this node's summary with the next sequence number.
func (r *Registrar) ownSummary(now time.Time) *peerpb.Summary {
	r.mu.Lock()
	r.sequence++
	w := &peerpb.Summary{
		Owner: r.Self.Address.String(), DataCentre: r.Self.DataCentre, Incarnation: r.Self.Incarnation, Sequence: r.sequence,
		LifetimeNanos: int64(max(directory.DefaultLifetime, lifetimeIntervals*SummaryInterval(len(r.Members.Live(now))))),
	}
	r.mu.Unlock()
	for _, c := range r.Owner.Capacities(now) {
		w.Services = append(w.Services, &peerpb.ServiceCapacity{
			Service: c.Service, Slots: uint32(c.Slots), Free: int32(c.Free), BackendServers: uint32(c.BackendServers),
		})
	}
	return w
}

// PullSummaries requests the summaries of all members and waits for the responses. Members
// publish theirs only to one another, so a node outside the roster has to request them: one
// that has just started, or that replaces another while the store is unavailable.
func (r *Registrar) PullSummaries(ctx context.Context, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, summaryTimeout)
	defer cancel()
	var pulls sync.WaitGroup
	for _, m := range r.Members.Live(now) {
		if m.Address == r.Self.Address {
			continue
		}
		pulls.Go(func() {
			payload, err := r.Mesh.Ask(ctx, m.Address, question.CapacitySummary, nil)
			if err == nil {
				err = r.receiveSummary(payload)
			}
			if err != nil {
				r.Log.Debug().Err(err).Stringer("Peer", m.Address).Msg("summary not received")
			}
		})
	}
	pulls.Wait()
}

// sendSummary sends a summary once. If it is lost, the next one replaces it.
func (r *Registrar) sendSummary(ctx context.Context, to netip.AddrPort, payload []byte) {
	ctx, cancel := context.WithTimeout(ctx, summaryTimeout)
	defer cancel()
	if _, err := r.Mesh.Ask(ctx, to, question.CapacitySummary, payload); err != nil {
		r.Log.Debug().Err(err).Stringer("Peer", to).Msg("summary not delivered")
	}
}

// AnswerSummary stores another owner's summary. If the payload is empty, it returns this
// node's summary instead.
func (r *Registrar) AnswerSummary(payload []byte) ([]byte, error) {
	if len(payload) > 0 {
		return nil, r.receiveSummary(payload)
	}
	return proto.Marshal(r.ownSummary(time.Now()))
}

func (r *Registrar) receiveSummary(payload []byte) error {
	var w peerpb.Summary
	if err := proto.Unmarshal(payload, &w); err != nil {
		return err
	}
	s, err := decodeSummary(&w)
	if err != nil {
		return err
	}
	r.Directory.UpdateSummary(time.Now(), s)
	return nil
}

func decodeSummary(w *peerpb.Summary) (directory.Summary, error) {
	address, err := netip.ParseAddrPort(w.GetOwner())
	if err != nil {
		return directory.Summary{}, err
	}
	if !member.IsAddress(address) || len(w.GetDataCentre()) > maxServiceBytes {
		return directory.Summary{}, fmt.Errorf("summary of %s, which is no owner, in a data centre of %d bytes", address, len(w.GetDataCentre()))
	}
	s := directory.Summary{
		Owner: address, DataCentre: w.GetDataCentre(), Incarnation: w.GetIncarnation(), Sequence: w.GetSequence(),
		Lifetime: min(time.Duration(w.GetLifetimeNanos()), maxLifetime),
	}
	for _, c := range w.GetServices() {
		if len(c.GetService()) <= maxServiceBytes && c.GetSlots() <= maxCapacity {
			s.Services = append(s.Services, directory.Capacity{
				Service: c.GetService(), Slots: int(c.GetSlots()), Free: int(c.GetFree()), BackendServers: int(c.GetBackendServers()),
			})
		}
	}
	slices.SortFunc(s.Services, func(a, b directory.Capacity) int {
		if a.Service < b.Service {
			return -1
		}
		return 1
	})
	return s, nil
}
