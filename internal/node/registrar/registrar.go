// Package registrar takes announcements of backend servers, passes them to
// their owners, and tells entries what the owners can take.
package registrar

import (
	"context"
	"encoding/json"
	"errors"
	"math"
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
	"filbertturn.example/filbertturn/internal/node/owner"
	"filbertturn.example/filbertturn/internal/peer/peerpb"
	"filbertturn.example/filbertturn/internal/peer/question"
	"filbertturn.example/filbertturn/internal/route/directory"
)

const (
	ownerTimeout    = 300 * time.Millisecond // Time that one owner has to answer.
	maxOwners       = 4                      // Owners that an announcement is offered to.
	maxAnnouncement = 4 << 10                // Bytes of an announcement.
	maxName         = 256                    // Bytes of a service's name.
	maxSlots        = 1 << 16                // Requests that one backend server runs at once.
	tickInterval    = 100 * time.Millisecond
	summaryFloor    = time.Second           // Shortest time between summaries without a change.
	summaryPerNode  = 50 * time.Millisecond // Time added to it by each member, which bounds the traffic.
	summaryTimeout  = time.Second
	lifetimes       = 3                     // Intervals after which a summary is no longer used.
	changeDelay     = 20 * time.Millisecond // Time that gathers changes into one summary.
)

// Members tells which nodes can be owners.
type Members interface {
	Live(now time.Time) []member.Member
}

// Mesh asks other nodes.
type Mesh interface {
	Ask(ctx context.Context, to netip.AddrPort, kind uint32, payload []byte) ([]byte, error)
}

// Directory takes in summaries.
type Directory interface {
	UpdateSummary(now time.Time, s directory.Summary)
	Expire(now time.Time)
}

// Registrar is the part of a node that backend servers talk to.
type Registrar struct {
	Self      member.Member
	Members   Members
	Owner     *owner.Owner
	Directory Directory
	Mesh      Mesh
	Log       zerolog.Logger

	mu       sync.Mutex      // Guards the fields below.
	running  context.Context // Ends when the node does; nil before Start.
	pending  bool            // A summary is about to be sent.
	sent     time.Time       // Time of the last summary.
	sequence uint64
}

// Announcement is the JSON form of a backend server's heartbeat.
type Announcement struct {
	BackendServer netip.AddrPort
	Service       string
	DataCentre    string
	Slots         int
	State         string // Starting, Ready or Draining.
	Incarnation   uint64 // Start time of the backend server, in nanoseconds since 1970.
	Sequence      uint64 // Grows with each announcement of one incarnation.
}

// Start begins to publish summaries.
func (r *Registrar) Start(ctx context.Context, timers *timer.Service) {
	r.mu.Lock()
	r.running = ctx
	r.mu.Unlock()
	timers.Subscribe(tickInterval, func(t timer.Tick) {
		r.Directory.Expire(t.Now)
		r.publishIfDue(ctx, t.Now)
	})
}

// Handler serves the address for backend servers.
func (r *Registrar) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /announce", r.announce)
	return mux
}

func (r *Registrar) announce(w http.ResponseWriter, req *http.Request) {
	var a Announcement
	d := json.NewDecoder(http.MaxBytesReader(w, req.Body, maxAnnouncement))
	d.DisallowUnknownFields()
	if err := d.Decode(&a); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l, err := a.lease()
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	by, err := r.place(req.Context(), l)
	if err != nil {
		http.Error(w, "no node can own the backend server: "+err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(struct{ Owner netip.AddrPort }{by})
}

func (a Announcement) lease() (lease.Announcement, error) {
	states := map[string]lease.State{"Starting": lease.Starting, "Ready": lease.Ready, "Draining": lease.Draining}
	state, ok := states[a.State]
	if !ok {
		return lease.Announcement{}, errors.New("field State is none of Starting, Ready and Draining")
	}
	l := lease.Announcement{
		BackendServer: a.BackendServer, Service: a.Service, DataCentre: a.DataCentre, Slots: a.Slots,
		State: state, Incarnation: a.Incarnation, Sequence: a.Sequence,
	}
	return l, validate(l)
}

// validate refuses what would give a backend server a place that it cannot have.
func validate(a lease.Announcement) error {
	switch {
	case !a.BackendServer.IsValid() || a.BackendServer.Addr().IsUnspecified() || a.BackendServer.Port() == 0:
		return errors.New("field BackendServer is not an address IP:PORT")
	case a.Service == "" || len(a.Service) > maxName:
		return errors.New("field Service is empty or too long")
	case a.Slots < 1 || a.Slots > maxSlots:
		return errors.New("field Slots is not a number from 1 to " + strconv.Itoa(maxSlots))
	case a.State > lease.Draining:
		return errors.New("field State is not known")
	}
	return nil
}

// place offers an announcement to the nodes that may own the backend server, in
// the order that all nodes compute alike, until one takes it.
func (r *Registrar) place(ctx context.Context, a lease.Announcement) (netip.AddrPort, error) {
	candidates := placement.Nearest(a.BackendServer.String(), a.DataCentre, r.Members.Live(time.Now()))
	if len(candidates) == 0 {
		return netip.AddrPort{}, errors.New("the roster is not known yet")
	}
	var err error
	for _, m := range candidates[:min(maxOwners, len(candidates))] {
		if err = r.offer(ctx, m, a); err == nil {
			return m.Address, nil
		}
	}
	return netip.AddrPort{}, err
}

func (r *Registrar) offer(ctx context.Context, m member.Member, a lease.Announcement) error {
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

// AnswerAnnounce takes an announcement that another node passed on.
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
		State:         state(w.GetState()),
		Incarnation:   w.GetIncarnation(),
		Sequence:      w.GetSequence(),
	}
	if err := validate(a); err != nil {
		return err
	}
	return r.Owner.Heartbeat(time.Now(), a)
}

// state keeps numbers that a state has no room for from looking like another.
func state(n uint32) lease.State {
	return lease.State(min(n, math.MaxUint8))
}

// Publish tells all nodes soon that this node's capacity has changed.
func (r *Registrar) Publish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pending || r.running == nil {
		return
	}
	r.pending = true
	time.AfterFunc(changeDelay, func() { r.publish(r.running, time.Now()) })
}

// Interval returns the time between summaries without a change, for a fleet of
// n members.
func Interval(n int) time.Duration {
	return max(summaryFloor, time.Duration(n)*summaryPerNode)
}

func (r *Registrar) publishIfDue(ctx context.Context, now time.Time) {
	interval := Interval(len(r.Members.Live(now)))
	r.mu.Lock()
	due := now.Sub(r.sent) >= interval
	r.mu.Unlock()
	if due {
		r.publish(ctx, now)
	}
}

func (r *Registrar) publish(ctx context.Context, now time.Time) {
	r.mu.Lock()
	r.pending = false
	r.sent = now
	r.mu.Unlock()
	w := r.own(now)
	if s, err := summary(w); err == nil {
		r.Directory.UpdateSummary(now, s)
	}
	payload, err := proto.Marshal(w)
	if err != nil {
		return
	}
	live := r.Members.Live(now)
	if !slices.Contains(live, r.Self) {
		r.Pull(ctx, now)
		return
	}
	for _, m := range live {
		if m.Address != r.Self.Address {
			go r.tell(ctx, m.Address, payload)
		}
	}
}

// own returns this node's summary.
func (r *Registrar) own(now time.Time) *peerpb.Summary {
	r.mu.Lock()
	r.sequence++
	w := &peerpb.Summary{
		Owner: r.Self.Address.String(), DataCentre: r.Self.DataCentre, Incarnation: r.Self.Incarnation, Sequence: r.sequence,
		LifetimeNanos: int64(max(directory.DefaultLifetime, lifetimes*Interval(len(r.Members.Live(now))))),
	}
	r.mu.Unlock()
	for _, c := range r.Owner.Capacities(now) {
		w.Services = append(w.Services, &peerpb.ServiceCapacity{
			Service: c.Service, Slots: uint32(c.Slots), Free: int32(c.Free), BackendServers: uint32(c.BackendServers),
		})
	}
	return w
}

// Pull asks all members for their summaries and waits for the answers. Members
// send theirs only to one another, so that a node outside the roster asks: one
// that has just started, or that replaces another while the store is away.
func (r *Registrar) Pull(ctx context.Context, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, summaryTimeout)
	defer cancel()
	var asked sync.WaitGroup
	for _, m := range r.Members.Live(now) {
		if m.Address == r.Self.Address {
			continue
		}
		asked.Go(func() {
			payload, err := r.Mesh.Ask(ctx, m.Address, question.CapacitySummary, nil)
			if err == nil {
				err = r.hear(payload)
			}
			if err != nil {
				r.Log.Debug().Err(err).Stringer("Peer", m.Address).Msg("summary not received")
			}
		})
	}
	asked.Wait()
}

// tell sends a summary. The next one makes up for one that is lost.
func (r *Registrar) tell(ctx context.Context, to netip.AddrPort, payload []byte) {
	ctx, cancel := context.WithTimeout(ctx, summaryTimeout)
	defer cancel()
	if _, err := r.Mesh.Ask(ctx, to, question.CapacitySummary, payload); err != nil {
		r.Log.Debug().Err(err).Stringer("Peer", to).Msg("summary not delivered")
	}
}

// AnswerSummary takes in another owner's summary. A question without one asks
// for this node's.
func (r *Registrar) AnswerSummary(payload []byte) ([]byte, error) {
	if len(payload) > 0 {
		return nil, r.hear(payload)
	}
	return proto.Marshal(r.own(time.Now()))
}

func (r *Registrar) hear(payload []byte) error {
	var w peerpb.Summary
	if err := proto.Unmarshal(payload, &w); err != nil {
		return err
	}
	s, err := summary(&w)
	if err != nil {
		return err
	}
	r.Directory.UpdateSummary(time.Now(), s)
	return nil
}

func summary(w *peerpb.Summary) (directory.Summary, error) {
	address, err := netip.ParseAddrPort(w.GetOwner())
	if err != nil {
		return directory.Summary{}, err
	}
	s := directory.Summary{
		Owner: address, DataCentre: w.GetDataCentre(), Incarnation: w.GetIncarnation(), Sequence: w.GetSequence(),
		Lifetime: time.Duration(w.GetLifetimeNanos()),
	}
	for _, c := range w.GetServices() {
		s.Services = append(s.Services, directory.Capacity{
			Service: c.GetService(), Slots: int(c.GetSlots()), Free: int(c.GetFree()), BackendServers: int(c.GetBackendServers()),
		})
	}
	slices.SortFunc(s.Services, func(a, b directory.Capacity) int {
		if a.Service < b.Service {
			return -1
		}
		return 1
	})
	return s, nil
}
