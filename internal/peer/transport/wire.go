package transport

import (
	"net/http"
	"net/netip"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"filbertturn.example/filbertturn/internal/peer/peerpb"
	"filbertturn.example/filbertturn/internal/request/call"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/kind"
)

func encodeCall(c *call.Call, timeout time.Duration) *peerpb.RequestHead {
	return &peerpb.RequestHead{
		Version:       protocolVersion,
		Method:        c.Method,
		Target:        encodeText(c.Target),
		Host:          encodeText(c.Host),
		Headers:       encodeHeader(c.Header),
		ContentLength: c.ContentLength,
		Customer:      c.Customer,
		KeyHash:       c.KeyHash[:],
		Route:         c.Route.Name,
		TimeoutNanos:  int64(timeout),
		RequestId:     encodeText(c.ID),
		Sequence:      c.HeadSequence,
		Avoid:         formatAddresses(c.Avoid),
	}
}

func encodeHeader(h http.Header) []*peerpb.Field {
	names := make([]string, 0, len(h))
	for name := range h {
		names = append(names, name)
	}
	sort.Strings(names)
	list := make([]*peerpb.Field, 0, len(h))
	for _, name := range names {
		for _, value := range h[name] {
			list = append(list, &peerpb.Field{Name: encodeText(name), Value: encodeText(value)})
		}
	}
	return list
}

func formatAddresses(list []netip.AddrPort) []string {
	out := make([]string, 0, len(list))
	for _, a := range list {
		out = append(out, a.String())
	}
	return out
}

// parseAddress returns the zero value for text that is not an address, because the
// addresses are only hints.
func parseAddress(text string) netip.AddrPort {
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}
	}
	return a
}

func decodeHeader(list []*peerpb.Field) http.Header {
	h := make(http.Header, len(list))
	for _, f := range list {
		name := decodeText(f.GetName())
		h[name] = append(h[name], decodeText(f.GetValue()))
	}
	return h
}

func decodeFailure(f *peerpb.Failure) *failure.Failure {
	return &failure.Failure{
		Kind:       kind.Kind(f.GetKind()),
		RetryAfter: RetryAfterFromProto(f.GetRetryAfterNanos()),
		Detail:     f.GetDetail(),

		BackendServer: parseAddress(f.GetBackendServer()),
		FreeSlots:     decodeFreeSlots(f.FreeSlots),
	}
}

func encodeFreeSlots(n *int) *int32 {
	if n == nil {
		return nil
	}
	return proto.Int32(int32(*n))
}

func decodeFreeSlots(n *int32) *int {
	if n == nil || *n < 0 {
		return nil
	}
	m := int(*n)
	return &m
}
