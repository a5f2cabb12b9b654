package report

import (
	"math"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"filbertturn.example/filbertturn/internal/health/healthpb"
)

// Bounds of a message. Encoding and decoding return an Error if one is exceeded.
const (
	MaxBytes      = 256 << 10
	MaxServers    = 1024
	MaxRoutes     = 4096
	MaxName       = 256
	MaxCount      = 1 << 20 // Maximum of a count in a sample.
	MaxReadyFor   = time.Hour
	MaxLife       = time.Minute
	maxLogLatency = 64 // Maximum absolute logarithm of a latency in seconds.
)

const (
	thousand   = 1000
	decisecond = 100 * time.Millisecond
)

// EncodeReport returns the encoding of r, or an Error if r exceeds a bound. Latency sums
// are rounded to a thousandth and ReadyFor is truncated to a tenth of a second.
func EncodeReport(r Report) ([]byte, error) {
	m := &healthpb.Report{Pool: r.Pool, Epoch: r.Epoch, Sequence: r.Sequence, Term: r.Echo.Term, Stamp: r.Echo.At}
	index := map[string]uint32{}
	for _, s := range r.Servers {
		w := &healthpb.Server{
			Address:          encodeAddress(s.Address),
			State:            uint32(s.State),
			ReadyDeciseconds: uint32(min(max(s.ReadyFor, 0), MaxReadyFor) / decisecond),
			Slots:            clampCount(s.Slots),
			Busy:             clampCount(s.Busy),
		}
		for _, p := range s.Samples {
			i, ok := index[p.Route]
			if !ok {
				i = uint32(len(m.Routes))
				index[p.Route] = i
				m.Routes = append(m.Routes, p.Route)
			}
			w.Samples = append(w.Samples, encodeSample(i, p))
		}
		m.Servers = append(m.Servers, w)
	}
	if _, err := decodeReport(m); err != nil {
		return nil, err
	}
	return marshal(m)
}

func encodeSample(route uint32, s Sample) *healthpb.Sample {
	return &healthpb.Sample{
		Route:    route,
		Count:    clampCount(s.Count),
		Answered: clampCount(s.Answered),
		Sum:      int64(math.Round(s.Sum * thousand)),
		Squares:  uint64(math.Round(max(s.Squares, 0) * thousand)),
		Connect:  clampCount(s.Connect),
		Error:    clampCount(s.Error),
		Cut:      clampCount(s.Cut),
		Timeout:  clampCount(s.Timeout),
		Wrong:    clampCount(s.Wrong),
		Overdue:  clampCount(s.Overdue),
	}
}

// DecodeReport decodes a report and returns an Error if it exceeds a bound.
func DecodeReport(b []byte) (Report, error) {
	m := &healthpb.Report{}
	if err := unmarshal(b, m); err != nil {
		return Report{}, err
	}
	return decodeReport(m)
}

func decodeReport(m *healthpb.Report) (Report, error) {
	r := Report{Pool: m.Pool, Epoch: m.Epoch, Sequence: m.Sequence, Echo: Stamp{Term: m.Term, At: m.Stamp}}
	if len(m.Pool) > MaxName {
		return Report{}, &Error{Field: "Pool", Index: -1, Problem: "name too long"}
	}
	if len(m.Servers) > MaxServers {
		return Report{}, &Error{Field: "Servers", Index: -1, Problem: "too many"}
	}
	if len(m.Routes) > MaxRoutes {
		return Report{}, &Error{Field: "Routes", Index: -1, Problem: "too many"}
	}
	for i, n := range m.Routes {
		if len(n) > MaxName {
			return Report{}, &Error{Field: "Routes", Index: i, Problem: "name too long"}
		}
	}
	for i, w := range m.Servers {
		s, problem := decodeServer(w, m.Routes)
		if problem != "" {
			return Report{}, &Error{Field: "Servers", Index: i, Problem: problem}
		}
		r.Servers = append(r.Servers, s)
	}
	return r, nil
}

func decodeServer(m *healthpb.Server, routes []string) (Server, string) {
	a, ok := decodeAddress(m.Address)
	ready := time.Duration(m.ReadyDeciseconds) * decisecond
	switch {
	case !ok:
		return Server{}, "malformed address"
	case m.State > uint32(Left):
		return Server{}, "unknown state"
	case m.Slots > MaxCount || m.Busy > MaxCount:
		return Server{}, "slots out of bounds"
	case ready > MaxReadyFor:
		return Server{}, "ready for too long"
	case len(m.Samples) > MaxRoutes:
		return Server{}, "too many samples"
	}
	s := Server{Address: a, State: State(m.State), ReadyFor: ready, Slots: int(m.Slots), Busy: int(m.Busy)}
	for _, w := range m.Samples {
		p, problem := decodeSample(w, routes)
		if problem != "" {
			return Server{}, problem
		}
		s.Samples = append(s.Samples, p)
	}
	return s, ""
}

func decodeSample(m *healthpb.Sample, routes []string) (Sample, string) {
	if int64(m.Route) >= int64(len(routes)) {
		return Sample{}, "unknown route"
	}
	for _, n := range []uint32{m.Count, m.Answered, m.Connect, m.Error, m.Cut, m.Timeout, m.Wrong, m.Overdue} {
		if n > MaxCount || n > m.Count {
			return Sample{}, "count out of bounds"
		}
	}
	bound := uint64(m.Answered) * thousand * maxLogLatency
	if m.Sum > int64(bound) || m.Sum < -int64(bound) || m.Squares > bound*maxLogLatency {
		return Sample{}, "latency out of bounds"
	}
	return Sample{
		Route:    routes[m.Route],
		Count:    int(m.Count),
		Answered: int(m.Answered),
		Sum:      float64(m.Sum) / thousand,
		Squares:  float64(m.Squares) / thousand,
		Connect:  int(m.Connect),
		Error:    int(m.Error),
		Cut:      int(m.Cut),
		Timeout:  int(m.Timeout),
		Wrong:    int(m.Wrong),
		Overdue:  int(m.Overdue),
	}, ""
}

func clampCount(n int) uint32 { return uint32(min(max(n, 0), math.MaxUint32)) }

func encodeAddress(a netip.AddrPort) []byte {
	b, err := a.MarshalBinary()
	if err != nil || !a.IsValid() {
		return nil
	}
	return b
}

func decodeAddress(b []byte) (netip.AddrPort, bool) {
	var a netip.AddrPort
	if len(b) > 64 || a.UnmarshalBinary(b) != nil || !a.IsValid() {
		return netip.AddrPort{}, false
	}
	return a, true
}

func marshal(m proto.Message) ([]byte, error) {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return nil, &Error{Field: "Message", Index: -1, Problem: err.Error()}
	}
	if len(b) > MaxBytes {
		return nil, &Error{Field: "Message", Index: -1, Problem: "too large"}
	}
	return b, nil
}

func unmarshal(b []byte, m proto.Message) error {
	if len(b) > MaxBytes {
		return &Error{Field: "Message", Index: -1, Problem: "too large"}
	}
	if err := proto.Unmarshal(b, m); err != nil {
		return &Error{Field: "Message", Index: -1, Problem: err.Error()}
	}
	return nil
}
