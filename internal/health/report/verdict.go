package report

import (
	"math"
	"net/netip"
	"time"

	"filbertturn.example/filbertturn/internal/fleet/member"
	"filbertturn.example/filbertturn/internal/health/healthpb"
)

// EncodeRuling returns the encoding of r, or an Error if r exceeds a bound. Weights and
// logarithms are rounded to a thousandth and lifetimes are truncated to a millisecond.
func EncodeRuling(r Ruling) ([]byte, error) {
	m := &healthpb.Ruling{
		Pool: r.Pool, Epoch: r.Epoch, Sequence: r.Sequence,
		Term: r.Stamp.Term, Stamp: r.Stamp.At, To: encodeMember(r.To),
	}
	for _, v := range r.Verdicts {
		m.Verdicts = append(m.Verdicts, encodeVerdict(v))
	}
	for _, b := range r.Baselines {
		m.Baselines = append(m.Baselines, &healthpb.Baseline{
			Route:  b.Route,
			Median: int32(math.Round(min(max(b.Median, -maxLogLatency), maxLogLatency) * thousand)),
			Sigma:  uint32(math.Round(min(max(b.Sigma, 0), maxLogLatency) * thousand)),
		})
	}
	if _, err := decodeRuling(m); err != nil {
		return nil, err
	}
	return marshal(m)
}

// DecodeRuling decodes a ruling and returns an Error if it exceeds a bound.
func DecodeRuling(b []byte) (Ruling, error) {
	m := &healthpb.Ruling{}
	if err := unmarshal(b, m); err != nil {
		return Ruling{}, err
	}
	return decodeRuling(m)
}

func encodeVerdict(v Verdict) *healthpb.Verdict {
	m := &healthpb.Verdict{Address: encodeAddress(v.Server())}
	switch v := v.(type) {
	case Ejection:
		m.Kind = &healthpb.Verdict_Ejection{Ejection: &healthpb.Ejection{
			Reason: uint32(v.Reason), LifeMilliseconds: milliseconds(v.Life),
		}}
	case Probation:
		m.Kind = &healthpb.Verdict_Probation{Probation: &healthpb.Probation{
			WeightThousandths: uint32(math.Round(min(max(v.Weight, 0), 1) * thousand)), LifeMilliseconds: milliseconds(v.Life),
		}}
	case Handover:
		m.Kind = &healthpb.Verdict_Handover{Handover: &healthpb.Handover{To: encodeMember(v.To)}}
	case Suspicion:
		m.Kind = &healthpb.Verdict_Suspicion{Suspicion: &healthpb.Suspicion{}}
	}
	return m
}

func decodeRuling(m *healthpb.Ruling) (Ruling, error) {
	to, ok := decodeMember(m.To)
	switch {
	case len(m.Pool) > MaxName:
		return Ruling{}, &Error{Field: "Pool", Index: -1, Problem: "name too long"}
	case !ok:
		return Ruling{}, &Error{Field: "To", Index: -1, Problem: "malformed member"}
	case len(m.Verdicts) > MaxServers:
		return Ruling{}, &Error{Field: "Verdicts", Index: -1, Problem: "too many"}
	case len(m.Baselines) > MaxRoutes:
		return Ruling{}, &Error{Field: "Baselines", Index: -1, Problem: "too many"}
	}
	r := Ruling{Pool: m.Pool, Epoch: m.Epoch, Sequence: m.Sequence, Stamp: Stamp{Term: m.Term, At: m.Stamp}, To: to}
	for i, w := range m.Verdicts {
		v, problem := decodeVerdict(w)
		if problem != "" {
			return Ruling{}, &Error{Field: "Verdicts", Index: i, Problem: problem}
		}
		r.Verdicts = append(r.Verdicts, v)
	}
	for i, b := range m.Baselines {
		if len(b.Route) > MaxName || b.Median > maxLogLatency*thousand || b.Median < -maxLogLatency*thousand || b.Sigma > maxLogLatency*thousand {
			return Ruling{}, &Error{Field: "Baselines", Index: i, Problem: "out of bounds"}
		}
		r.Baselines = append(r.Baselines, Baseline{
			Route: b.Route, Median: float64(b.Median) / thousand, Sigma: float64(b.Sigma) / thousand,
		})
	}
	return r, nil
}

func decodeVerdict(m *healthpb.Verdict) (Verdict, string) {
	a, ok := decodeAddress(m.Address)
	if !ok {
		return nil, "malformed address"
	}
	switch k := m.Kind.(type) {
	case *healthpb.Verdict_Ejection:
		return decodeEjection(a, k.Ejection)
	case *healthpb.Verdict_Probation:
		life := time.Duration(k.Probation.LifeMilliseconds) * time.Millisecond
		if k.Probation.WeightThousandths > thousand || life > MaxLife {
			return nil, "probation out of bounds"
		}
		return Probation{Address: a, Weight: float64(k.Probation.WeightThousandths) / thousand, Life: life}, ""
	case *healthpb.Verdict_Handover:
		to, ok := decodeMember(k.Handover.To)
		if !ok {
			return nil, "malformed member"
		}
		return Handover{Address: a, To: to}, ""
	case *healthpb.Verdict_Suspicion:
		return Suspicion{Address: a}, ""
	}
	return nil, "unknown kind"
}

func decodeEjection(a netip.AddrPort, m *healthpb.Ejection) (Verdict, string) {
	life := time.Duration(m.LifeMilliseconds) * time.Millisecond
	if m.Reason < uint32(Slow) || m.Reason > uint32(Unreachable) {
		return nil, "unknown reason"
	}
	if life > MaxLife {
		return nil, "life too long"
	}
	return Ejection{Address: a, Reason: Reason(m.Reason), Life: life}, ""
}

func encodeMember(m member.Member) *healthpb.Member {
	return &healthpb.Member{
		Address: encodeAddress(m.Address), Incarnation: m.Incarnation, DataCentre: m.DataCentre, Region: m.Region,
	}
}

func decodeMember(m *healthpb.Member) (member.Member, bool) {
	if m == nil || len(m.DataCentre) > MaxName || len(m.Region) > MaxName {
		return member.Member{}, false
	}
	a, ok := decodeAddress(m.Address)
	return member.Member{Address: a, Incarnation: m.Incarnation, DataCentre: m.DataCentre, Region: m.Region}, ok
}

func milliseconds(d time.Duration) uint32 {
	return uint32(min(max(d, 0)/time.Millisecond, math.MaxUint32))
}
