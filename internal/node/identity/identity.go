// Package identity creates and loads the certificates with which nodes authenticate one
// another by mutual TLS.
package identity

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"time"
)

const (
	authorityLifetime   = 10 * 365 * 24 * time.Hour
	certificateLifetime = 365 * 24 * time.Hour
	clockSkew           = time.Hour // Certificates are valid from this long before their creation, as clocks of VMs differ.
	serialBits          = 128
	privateMode         = 0o600
)

// Identity holds the TLS configurations of one node.
type Identity struct {
	Client *tls.Config // For connections that the node opens.
	Server *tls.Config // For connections that the node accepts.
}

// Load reads the files of the node's certificate, its private key and the certificate
// authority, all in PEM. It fails if the certificate has expired.
func Load(certificate, key, authority string) (Identity, error) {
	pair, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return Identity{}, fmt.Errorf("load certificate and key: %w", err)
	}
	if now := time.Now(); now.After(pair.Leaf.NotAfter) {
		return Identity{}, fmt.Errorf("load certificate: %s expired at %s", certificate, pair.Leaf.NotAfter.Format(time.RFC3339))
	}
	pemBytes, err := os.ReadFile(authority) //nolint:gosec // The path is a setting of the operator.
	if err != nil {
		return Identity{}, fmt.Errorf("load authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pemBytes) {
		return Identity{}, fmt.Errorf("load authority: %s holds no certificate", authority)
	}
	base := tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{pair}}
	client, server := base.Clone(), base.Clone()
	client.RootCAs = pool
	server.ClientCAs = pool
	server.ClientAuth = tls.RequireAndVerifyClientCert
	return Identity{Client: client, Server: server}, nil
}

// Create writes authority.pem, authority-key.pem, node.pem and node-key.pem to a directory.
// The node's certificate is valid for the given IP addresses. A certificate authority that
// the directory already contains is reused.
func Create(directory string, addresses []netip.Addr, now time.Time) error {
	if len(addresses) == 0 {
		return errors.New("a certificate needs at least one address")
	}
	authority, authorityKey, err := loadAuthority(directory)
	if errors.Is(err, os.ErrNotExist) {
		authority, authorityKey, err = createAuthority(directory, now)
	}
	if err != nil {
		return err
	}
	template, err := newTemplate("filbertturn node", now, certificateLifetime)
	if err != nil {
		return err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	for _, a := range addresses {
		template.IPAddresses = append(template.IPAddresses, net.IP(a.AsSlice()))
	}
	_, _, err = sign(directory, "node", template, authority, authorityKey)
	return err
}

func newTemplate(name string, now time.Time, lifetime time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, err
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(lifetime),
	}, nil
}

func createAuthority(directory string, now time.Time) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	template, err := newTemplate("filbertturn authority", now, authorityLifetime)
	if err != nil {
		return nil, nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	return sign(directory, "authority", template, nil, nil)
}

// sign creates a key pair and a certificate, self-signed if parent is nil, and writes both as
// name.pem and name-key.pem.
func sign(directory, name string, template, parent *x509.Certificate, parentKey *ecdsa.PrivateKey) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	if parent == nil {
		parent, parentKey = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, key.Public(), parentKey)
	if err != nil {
		return nil, nil, err
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, nil, err
	}
	if err := writePEM(filepath.Join(directory, name+".pem"), "CERTIFICATE", der); err != nil {
		return nil, nil, err
	}
	if err := writePEM(filepath.Join(directory, name+"-key.pem"), "PRIVATE KEY", keyDER); err != nil {
		return nil, nil, err
	}
	certificate, err := x509.ParseCertificate(der)
	return certificate, key, err
}

func writePEM(path, block string, der []byte) error {
	return os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: block, Bytes: der}), privateMode)
}

func loadAuthority(directory string) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	pair, err := tls.LoadX509KeyPair(filepath.Join(directory, "authority.pem"), filepath.Join(directory, "authority-key.pem"))
	if err != nil {
		return nil, nil, err
	}
	key, ok := pair.PrivateKey.(*ecdsa.PrivateKey)
	if !ok {
		return nil, nil, errors.New("the authority's key is not an ECDSA key")
	}
	return pair.Leaf, key, nil
}
