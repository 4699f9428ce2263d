package peer

import (
	"crypto/ed25519"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"time"

	"github.com/ansel1/merry/v2"
)

// keyInfo is the HKDF info string. It binds the derived key to this use.
const keyInfo = "buckthorndock peer tls v1"

// certLifetime is how long before and after its creation a certificate is valid.
const certLifetime = 10 * 365 * 24 * time.Hour

// remote is the identity that a trusted peer states in its certificate.
type remote struct {
	host   string
	domain string
}

// newTLS returns the TLS configurations for dialing and for serving. Only the public
// key is checked: the certificate's dates and names are not, so a wrong clock does
// not lock out a host. In TLS 1.3 each side signs the handshake with its key.
func newTLS(shared, host, domain string) (client, server *tls.Config, err error) {
	seed, err := hkdf.Key(sha256.New, []byte(shared), nil, keyInfo, ed25519.SeedSize)
	if err != nil {
		return nil, nil, merry.Prepend(err, "derive peer key")
	}
	key := ed25519.NewKeyFromSeed(seed)
	cert, err := newCertificate(key, host, domain)
	if err != nil {
		return nil, nil, err
	}
	base := &tls.Config{
		Certificates:           []tls.Certificate{cert},
		MinVersion:             tls.VersionTLS13,
		SessionTicketsDisabled: true,
		VerifyConnection:       verifier(key.Public().(ed25519.PublicKey)),
	}
	client = base.Clone()
	client.InsecureSkipVerify = true // VerifyConnection pins the key instead
	server = base.Clone()
	server.ClientAuth = tls.RequireAnyClientCert
	return client, server, nil
}

// newCertificate returns a self-signed certificate that names the host and its
// failure domain.
func newCertificate(key ed25519.PrivateKey, host, domain string) (tls.Certificate, error) {
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: host, OrganizationalUnit: []string{domain}},
		NotBefore:    now.Add(-certLifetime),
		NotAfter:     now.Add(certLifetime),
		KeyUsage:     x509.KeyUsageDigitalSignature,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return tls.Certificate{}, merry.Prepend(err, "create peer certificate")
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, nil
}

// verifier returns a check that the peer's certificate has the pinned public key.
func verifier(pinned ed25519.PublicKey) func(tls.ConnectionState) error {
	return func(s tls.ConnectionState) error {
		if len(s.PeerCertificates) == 0 {
			return ErrUntrustedPeer
		}
		key, ok := s.PeerCertificates[0].PublicKey.(ed25519.PublicKey)
		if !ok || !pinned.Equal(key) {
			return ErrUntrustedPeer
		}
		return nil
	}
}

// remoteFromCert returns the identity in the peer's certificate.
func remoteFromCert(s tls.ConnectionState) remote {
	name := s.PeerCertificates[0].Subject
	r := remote{host: name.CommonName}
	if len(name.OrganizationalUnit) > 0 {
		r.domain = name.OrganizationalUnit[0]
	}
	return r
}
