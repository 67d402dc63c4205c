package measure

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"
)

// selfSigned writes a self-signed certificate for 127.0.0.1 that is valid for 60 days to cert.pem and key.pem in dir, and
// returns a client configuration that trusts it.
func selfSigned(dir string) (*tls.Config, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	t := &x509.Certificate{SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(60 * 24 * time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true}
	der, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	secret, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return nil, err
	}
	roots := x509.NewCertPool()
	for name, b := range map[string]*pem.Block{"cert.pem": {Type: "CERTIFICATE", Bytes: der}, "key.pem": {Type: "EC PRIVATE KEY", Bytes: secret}} {
		if err := os.WriteFile(filepath.Join(dir, name), pem.EncodeToMemory(b), 0o600); err != nil {
			return nil, err
		}
	}
	c, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, err
	}
	roots.AddCert(c)
	return &tls.Config{RootCAs: roots, ServerName: "127.0.0.1"}, nil
}
