package front_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"rainhaven/internal/keys"
	"rainhaven/internal/lab/box"
	"rainhaven/internal/lab/player"
	"rainhaven/internal/settings"
)

// selfSigned creates a self-signed certificate with the given serial number, and its key, in PEM.
func selfSigned(t *testing.T, serial int64, notAfter time.Time) (cert, key []byte) {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	c := &x509.Certificate{SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "front"}, NotBefore: time.Now().Add(-72 * time.Hour),
		NotAfter: notAfter, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true}
	der, err := x509.CreateCertificate(rand.Reader, c, c, &k.PublicKey, k)
	if err != nil {
		t.Fatal(err)
	}
	kd, err := x509.MarshalECPrivateKey(k)
	if err != nil {
		t.Fatal(err)
	}
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: kd})
}

// The key pair is replaced while a session plays over TLS. The session continues, new connections get the new certificate,
// and an invalid pair is rejected.
func TestKeysChangeInService(t *testing.T) {
	b := newHarness(t, 1, nil)
	dir := t.TempDir()
	certFile, keyFile := filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	write := func(cert, key []byte) {
		for f, x := range map[string][]byte{certFile: cert, keyFile: key} {
			if err := os.WriteFile(f, x, 0o600); err != nil {
				t.Fatal(err)
			}
		}
	}
	validUntil := time.Now().Add(1000 * time.Hour)
	cert1, key1 := selfSigned(t, 1, validUntil)
	cert2, key2 := selfSigned(t, 2, validUntil)
	expired, expiredKey := selfSigned(t, 3, time.Now().Add(-time.Hour))
	if _, err := keys.OpenKeyPair(certFile, keyFile, zap.NewNop()); err == nil {
		t.Fatal("missing files were accepted")
	}
	write(cert1, key1)
	files, err := keys.OpenKeyPair(certFile, keyFile, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	served := make(chan error, 1)
	go func() { served <- b.ServeTLS(l, files.ServerConfig()) }()
	serial := func() int64 {
		c, err := tls.Dial("tcp", addr, &tls.Config{InsecureSkipVerify: true})
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		return c.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
	}
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(cert1)
	playing, done := make(chan struct{}), make(chan error, 1)
	w := b.request("clips")
	w.Address, w.TLS, w.WatchSeconds = addr, &tls.Config{RootCAs: roots, ServerName: "127.0.0.1"}, 1.6
	w.OnProgress = closeOnce(playing)
	go func() {
		_, err := player.Watch(context.Background(), w)
		done <- err
	}()
	<-playing
	for name, x := range map[string][2][]byte{"half written": {cert2[:len(cert2)/2], key2}, "not a pair": {cert2, key1}, "expired": {expired, expiredKey}} {
		write(x[0], x[1])
		if reloaded, problem := files.Reload(time.Now()); reloaded || problem == "" || serial() != 1 {
			t.Errorf("%s: reloaded %v, problem %q, serial %d", name, reloaded, problem, serial())
		}
	}
	write(cert2, key2)
	if reloaded, problem := files.Reload(time.Now()); !reloaded || serial() != 2 {
		t.Errorf("valid pair: reloaded %v, problem %q, serial %d", reloaded, problem, serial())
	}
	if err := <-done; err != nil {
		t.Errorf("playing session: %v", err)
	}
	// Clients that never finish the handshake or don't use TLS must not block others.
	for _, input := range []string{"", "OPTIONS * RTSP/1.0\r\n\r\n"} {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.Write([]byte(input))
	}
	if serial() != 2 {
		t.Error("new connections are blocked")
	}
	b.checkRules()
	b.Close()
	if err := <-served; err != nil {
		t.Error(err)
	}
}

// Boxes are reached over TLS. A box with an untrusted certificate gets no requests and counts as unreachable until its
// certificate is trusted.
func TestBoxesOverTLS(t *testing.T) {
	cert1, key1 := selfSigned(t, 1, time.Now().Add(1000*time.Hour))
	cert2, key2 := selfSigned(t, 2, time.Now().Add(1000*time.Hour))
	file := filepath.Join(t.TempDir(), "roots.pem")
	write := func(b []byte) {
		if err := os.WriteFile(file, b, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(cert1)
	var current atomic.Pointer[tls.Certificate]
	setCertificate := func(cert, key []byte) {
		c, err := tls.X509KeyPair(cert, key)
		if err != nil {
			t.Fatal(err)
		}
		current.Store(&c)
	}
	setCertificate(cert1, key1)
	b := newHarness(t, 1, func(config *settings.Config, site *box.Config) {
		config.BoxTLS, config.Choice.Probes = settings.TLSTrust{RootsFile: file}, true
		site.TLS = &tls.Config{GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return current.Load(), nil }}
	})
	playing, done := make(chan struct{}), make(chan error, 1)
	w := b.request("clips")
	w.WatchSeconds, w.OnProgress = 1.6, closeOnce(playing)
	go func() {
		seen, err := player.Watch(context.Background(), w)
		if err == nil && seen.Frames < 20 {
			err = fmt.Errorf("%+v", seen)
		}
		done <- err
	}()
	select {
	case <-playing:
	case err := <-done:
		t.Fatal(err)
	}
	setCertificate(cert2, key2)
	for name, x := range map[string][]byte{"none": nil, "half written": append(slices.Clone(cert1), cert2[:len(cert2)/2]...)} {
		write(x)
		if reloaded, problem := b.roots.Reload(time.Now()); reloaded || problem == "" {
			t.Errorf("%s: accepted, or no problem reported: %q", name, problem)
		}
	}
	if seen, _ := player.Watch(context.Background(), b.request("exam")); seen.Status != 503 || b.boxes[0].Counts().Setups != 1 {
		t.Errorf("untrusted box: %+v, %d SETUPs", seen, b.boxes[0].Counts().Setups)
	}
	write(append(slices.Clone(cert1), cert2...))
	if reloaded, problem := b.roots.Reload(time.Now()); !reloaded {
		t.Errorf("old and new roots together: %q", problem)
	}
	b.eventually("the box serves again", func() bool {
		seen, _ := player.Watch(context.Background(), b.request("clips"))
		return seen.Status == 200
	})
	if err := <-done; err != nil {
		t.Errorf("playing session: %v", err)
	}
	b.checkRules()
}
