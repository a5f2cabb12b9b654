package loan

import (
	"fmt"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"filbertturn.example/filbertturn/internal/limit/limitpb"
)

// Bounds that the decoders enforce.
const (
	MaxSize        = 2048 // Bytes of an encoded message.
	MaxCustomer    = 256  // Bytes of a customer's name.
	MaxTokens      = 1 << 20
	MaxSettlements = 16
	MaxDuration    = time.Hour
)

// FieldError reports a message that cannot be decoded.
type FieldError struct {
	Message string // Kind of message: Ask or Grant.
	Field   string // Invalid field, or Size; empty if the message is not valid protobuf.
	Cause   error  // Error of the protobuf decoder, if any.
}

// Error implements error.
func (e *FieldError) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("loan: %s cannot be decoded: %v", e.Message, e.Cause)
	}
	return fmt.Sprintf("loan: %s has a field %s outside its bounds", e.Message, e.Field)
}

// Unwrap returns the cause.
func (e *FieldError) Unwrap() error { return e.Cause }

// MarshalBinary encodes the ask with protobuf.
func (a Ask) MarshalBinary() ([]byte, error) {
	m := &limitpb.Ask{
		Customer: a.Customer, Epoch: a.Epoch,
		Address: a.Borrower.Address.Addr().AsSlice(), Port: uint32(a.Borrower.Address.Port()),
		Incarnation: a.Borrower.Incarnation, Sequence: a.Sequence,
		Want: uint32(a.Want), Need: uint32(a.Need),
	}
	for _, s := range a.Settlements {
		m.Settlements = append(m.Settlements, &limitpb.Settlement{
			Sequence: s.Sequence, Used: uint32(s.Used), Age: uint64(max(0, s.Age)), Closed: s.Closed,
		})
	}
	return proto.Marshal(m)
}

// UnmarshalBinary decodes an ask and checks its bounds. The error is a *FieldError.
func (a *Ask) UnmarshalBinary(data []byte) error {
	m := &limitpb.Ask{}
	if err := decode("Ask", data, m); err != nil {
		return err
	}
	addr, ok := netip.AddrFromSlice(m.GetAddress())
	fields := []boundCheck{
		{"Customer", m.GetCustomer() != "" && len(m.GetCustomer()) <= MaxCustomer},
		{"Address", ok},
		{"Port", m.GetPort() <= 1<<16-1},
		{"Want", m.GetWant() <= MaxTokens},
		{"Need", m.GetNeed() <= MaxTokens},
		{"Settlements", len(m.GetSettlements()) <= MaxSettlements},
	}
	for _, s := range m.GetSettlements() {
		fields = append(fields, boundCheck{"Used", s.GetUsed() <= MaxTokens}, boundCheck{"Age", s.GetAge() <= uint64(MaxDuration)})
	}
	if err := checkBounds("Ask", fields); err != nil {
		return err
	}
	*a = Ask{
		Customer: m.GetCustomer(), Epoch: m.GetEpoch(),
		Borrower: Borrower{Address: netip.AddrPortFrom(addr, uint16(m.GetPort())), Incarnation: m.GetIncarnation()},
		Sequence: m.GetSequence(), Want: int(m.GetWant()), Need: int(m.GetNeed()),
	}
	for _, s := range m.GetSettlements() {
		a.Settlements = append(a.Settlements, Settlement{
			Sequence: s.GetSequence(), Used: int(s.GetUsed()), Age: time.Duration(s.GetAge()), Closed: s.GetClosed(),
		})
	}
	return nil
}

// MarshalBinary encodes the grant with protobuf.
func (g Grant) MarshalBinary() ([]byte, error) {
	return proto.Marshal(&limitpb.Grant{
		Sequence: g.Sequence, Epoch: g.Epoch, Tokens: uint32(g.Tokens), Life: uint64(g.Lifetime),
		Available: uint64(min(g.Available, MaxDuration)), Scarce: g.Scarce, Refusal: uint32(g.Refusal), Left: uint32(min(g.Left, MaxTokens)),
	})
}

// UnmarshalBinary decodes a grant and checks its bounds. The error is a *FieldError.
func (g *Grant) UnmarshalBinary(data []byte) error {
	m := &limitpb.Grant{}
	if err := decode("Grant", data, m); err != nil {
		return err
	}
	if err := checkBounds("Grant", []boundCheck{
		{"Tokens", m.GetTokens() <= MaxTokens},
		{"Life", m.GetLife() <= uint64(MaxDuration)},
		{"Available", m.GetAvailable() <= uint64(MaxDuration)},
		{"Left", m.GetLeft() <= MaxTokens},
		{"Refusal", m.GetRefusal() < uint32(refusalCount)},
	}); err != nil {
		return err
	}
	*g = Grant{
		Sequence: m.GetSequence(), Epoch: m.GetEpoch(), Tokens: int(m.GetTokens()), Lifetime: time.Duration(m.GetLife()),
		Available: time.Duration(m.GetAvailable()), Scarce: m.GetScarce(), Refusal: Refusal(m.GetRefusal()), Left: int(m.GetLeft()),
	}
	return nil
}

// boundCheck is the name of a field and whether its value is within its bounds.
type boundCheck struct {
	name string
	ok   bool
}

func checkBounds(message string, fields []boundCheck) error {
	for _, f := range fields {
		if !f.ok {
			return &FieldError{Message: message, Field: f.name}
		}
	}
	return nil
}

func decode(message string, data []byte, m proto.Message) error {
	if len(data) > MaxSize {
		return &FieldError{Message: message, Field: "Size"}
	}
	if err := proto.Unmarshal(data, m); err != nil {
		return &FieldError{Message: message, Cause: err}
	}
	return nil
}
