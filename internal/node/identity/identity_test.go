package identity_test

import (
	"crypto/x509"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"filbertturn.example/filbertturn/internal/node/identity"
)

// TestCreate creates certificates for two nodes in turn, which must share an authority and be
// valid for their own addresses only.
func TestCreate(t *testing.T) {
	dir, now := t.TempDir(), time.Now()
	file := func(name string) string { return filepath.Join(dir, name) }
	if err := identity.Create(dir, nil, now); err == nil {
		t.Error("got a certificate without an address")
	}
	var authority []byte
	for _, address := range []string{"10.0.0.1", "2001:db8::1"} {
		if err := identity.Create(dir, []netip.Addr{netip.MustParseAddr(address)}, now); err != nil {
			t.Fatal(err)
		}
		if got, err := os.ReadFile(file("authority.pem")); err != nil || authority != nil && string(got) != string(authority) {
			t.Fatalf("got another authority for the second node, %v", err)
		} else {
			authority = got
		}
		id, err := identity.Load(file("node.pem"), file("node-key.pem"), file("authority.pem"))
		if err != nil {
			t.Fatal(err)
		}
		leaf := id.Client.Certificates[0].Leaf
		for _, tt := range []struct {
			name string
			at   time.Time
			want bool
		}{
			{address, now, true},
			{"10.0.0.9", now, false},
			{address, now.Add(-2 * time.Hour), false},
			{address, now.Add(366 * 24 * time.Hour), false},
		} {
			_, err := leaf.Verify(x509.VerifyOptions{DNSName: tt.name, Roots: id.Client.RootCAs, CurrentTime: tt.at})
			if (err == nil) != tt.want {
				t.Errorf("%s at %s: got %v, want valid %v", tt.name, tt.at, err, tt.want)
			}
		}
	}
	for _, name := range []string{"node-key.pem", "authority-key.pem"} {
		if info, err := os.Stat(file(name)); err != nil || info.Mode().Perm() != 0o600 {
			t.Errorf("%s: got %v, %v, want a file that only its owner can read", name, info, err)
		}
	}
	if _, err := identity.Load(file("node.pem"), file("authority-key.pem"), file("authority.pem")); err == nil {
		t.Error("got an identity with the key of another certificate")
	}
	if _, err := identity.Load(file("node.pem"), file("node-key.pem"), file("node-key.pem")); err == nil {
		t.Error("got an identity with an authority that is no certificate")
	}
}
