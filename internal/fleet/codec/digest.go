package codec

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"filbertturn.example/filbertturn/internal/fleet/fleetpb"
	"filbertturn.example/filbertturn/internal/fleet/quorum"
)

const digestMessage = "Digest"

// EncodeDigest returns d in protobuf encoding.
func EncodeDigest(d quorum.Digest) ([]byte, error) {
	return proto.Marshal(DigestToWire(d))
}

// DecodeDigest decodes a digest. It returns an *Error if b is invalid.
func DecodeDigest(b []byte) (quorum.Digest, error) {
	if len(b) > MaxDigest {
		return quorum.Digest{}, &Error{digestMessage, "", "too long"}
	}
	w := new(fleetpb.Digest)
	if err := proto.Unmarshal(b, w); err != nil {
		return quorum.Digest{}, &Error{digestMessage, "", err.Error()}
	}
	return DigestFromWire(w)
}

// DigestToWire returns d as a protobuf message, to be embedded in another one.
func DigestToWire(d quorum.Digest) *fleetpb.Digest {
	w := &fleetpb.Digest{
		From:     memberToWire(d.From),
		Sequence: d.Sequence,
		Epoch:    d.Epoch,
		Accepted: d.Accepted,
		Newest:   d.Newest,
		Ages:     make([]byte, len(d.Attestations)),
		Reached:  make([]byte, (len(d.Attestations)+7)/8),
	}
	if d.Proven {
		age := max(d.ProofAge, 0)
		w.ProofAge = uint64((age+time.Microsecond-1)/time.Microsecond) + 1
	}
	for i, a := range d.Attestations {
		w.Ages[i] = byte(a.Age)
		if a.Reached {
			w.Reached[i/8] |= 1 << (i % 8)
		}
	}
	for _, n := range d.Joining {
		w.Joining = append(w.Joining, &fleetpb.Newcomer{Member: memberToWire(n.Member), Age: uint32(n.Age)})
	}
	for _, m := range d.Resigned {
		w.Resigned = append(w.Resigned, memberToWire(m))
	}
	return w
}

// DigestFromWire returns the digest in a protobuf message. It returns an *Error if w is
// invalid.
func DigestFromWire(w *fleetpb.Digest) (quorum.Digest, error) {
	from, err := memberFromWire(digestMessage, "from", w.GetFrom())
	if err != nil {
		return quorum.Digest{}, err
	}
	if err := validateDigest(w); err != nil {
		return quorum.Digest{}, err
	}
	d := quorum.Digest{
		From:     from,
		Sequence: w.GetSequence(),
		Epoch:    w.GetEpoch(),
		Accepted: w.GetAccepted(),
		Newest:   w.GetNewest(),
	}
	if age := w.GetProofAge(); age > 0 {
		d.Proven = true
		d.ProofAge = time.Duration(age-1) * time.Microsecond
	}
	d.Attestations = make([]quorum.Attestation, len(w.GetAges()))
	for i, age := range w.GetAges() {
		reached := w.GetReached()[i/8]&(1<<(i%8)) != 0
		d.Attestations[i] = quorum.Attestation{Age: quorum.Age(age), Reached: reached}
	}
	if err := decodeDigestLists(&d, w); err != nil {
		return quorum.Digest{}, err
	}
	return d, nil
}

// maxProofAge is the maximum age of a proof on the wire, in microseconds.
const maxProofAge = uint64(time.Hour / time.Microsecond)

// validateDigest checks the bounds of the fields other than members.
func validateDigest(w *fleetpb.Digest) error {
	switch {
	case len(w.GetAges()) > MaxMembers:
		return &Error{digestMessage, "ages", "too many"}
	case len(w.GetReached()) != (len(w.GetAges())+7)/8:
		return &Error{digestMessage, "reached", "length does not match that of ages"}
	case w.GetProofAge() > maxProofAge:
		return &Error{digestMessage, "proof_age", "too great"}
	case len(w.GetJoining()) > quorum.MaxNewcomers:
		return &Error{digestMessage, "joining", "too many"}
	case len(w.GetResigned()) > quorum.MaxResigned:
		return &Error{digestMessage, "resigned", "too many"}
	}
	return nil
}

// decodeDigestLists fills in Joining and Resigned of d.
func decodeDigestLists(d *quorum.Digest, w *fleetpb.Digest) error {
	for i, n := range w.GetJoining() {
		field := fmt.Sprintf("joining[%d]", i)
		m, err := memberFromWire(digestMessage, field, n.GetMember())
		if err != nil {
			return err
		}
		if n.GetAge() > uint32(quorum.NoAge) {
			return &Error{digestMessage, field + ".age", "above 255"}
		}
		d.Joining = append(d.Joining, quorum.Newcomer{Member: m, Age: quorum.Age(n.GetAge())})
	}
	for i, r := range w.GetResigned() {
		m, err := memberFromWire(digestMessage, fmt.Sprintf("resigned[%d]", i), r)
		if err != nil {
			return err
		}
		d.Resigned = append(d.Resigned, m)
	}
	return nil
}
