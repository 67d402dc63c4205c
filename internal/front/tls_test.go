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

// pair makes a self-signed certificate with its serial number, and its key.
func pair(t *testing.T, serial int64, until time.Time) (cert, key []byte) {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	c := &x509.Certificate{SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "front"}, NotBefore: time.Now().Add(-72 * time.Hour),
		NotAfter: until, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true}
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

// Keys change while a session plays over TLS: it goes on; new connections get the new certificate, and only a good one.
func TestKeysChangeInService(t *testing.T) {
	b := newBench(t, 1, nil)
	dir := t.TempDir()
	certFile, keyFile := filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	write := func(cert, key []byte) {
		for f, x := range map[string][]byte{certFile: cert, keyFile: key} {
			if err := os.WriteFile(f, x, 0o600); err != nil {
				t.Fatal(err)
			}
		}
	}
	later := time.Now().Add(1000 * time.Hour)
	cert1, key1 := pair(t, 1, later)
	cert2, key2 := pair(t, 2, later)
	old, oldKey := pair(t, 3, time.Now().Add(-time.Hour))
	if _, err := keys.OpenKeyPair(certFile, keyFile, zap.NewNop()); err == nil {
		t.Fatal("files that are not there were taken")
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
	w := b.want("clips")
	w.Address, w.TLS, w.WatchSeconds = addr, &tls.Config{RootCAs: roots, ServerName: "127.0.0.1"}, 1.6
	w.OnProgress = once(playing)
	go func() {
		_, err := player.Watch(context.Background(), w)
		done <- err
	}()
	<-playing
	for name, x := range map[string][2][]byte{"half written": {cert2[:len(cert2)/2], key2}, "not a pair": {cert2, key1}, "expired": {old, oldKey}} {
		write(x[0], x[1])
		if took, say := files.Reload(time.Now()); took || say == "" || serial() != 1 {
			t.Errorf("%s: taken %v, said %q, serial %d", name, took, say, serial())
		}
	}
	write(cert2, key2)
	if took, say := files.Reload(time.Now()); !took || serial() != 2 {
		t.Errorf("a good pair: taken %v, said %q, serial %d", took, say, serial())
	}
	if err := <-done; err != nil {
		t.Errorf("the session that played: %v", err)
	}
	// Neither a client that never finishes its handshake nor one that speaks no TLS holds up others.
	for _, say := range []string{"", "OPTIONS * RTSP/1.0\r\n\r\n"} {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.Write([]byte(say))
	}
	if serial() != 2 {
		t.Error("held up")
	}
	b.rules()
	b.Close()
	if err := <-served; err != nil {
		t.Error(err)
	}
}

// Boxes are reached over TLS; one that is not trusted gets nothing, and counts as out of reach until it is.
func TestBoxesOverTLS(t *testing.T) {
	cert1, key1 := pair(t, 1, time.Now().Add(1000*time.Hour))
	cert2, key2 := pair(t, 2, time.Now().Add(1000*time.Hour))
	file := filepath.Join(t.TempDir(), "roots.pem")
	write := func(b []byte) {
		if err := os.WriteFile(file, b, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(cert1)
	var using atomic.Pointer[tls.Certificate]
	use := func(cert, key []byte) {
		c, err := tls.X509KeyPair(cert, key)
		if err != nil {
			t.Fatal(err)
		}
		using.Store(&c)
	}
	use(cert1, key1)
	b := newBench(t, 1, func(terms *settings.Config, site *box.Config) {
		terms.BoxTLS, terms.Choice.Probes = settings.TLSTrust{RootsFile: file}, true
		site.TLS = &tls.Config{GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return using.Load(), nil }}
	})
	playing, done := make(chan struct{}), make(chan error, 1)
	w := b.want("clips")
	w.WatchSeconds, w.OnProgress = 1.6, once(playing)
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
	use(cert2, key2)
	for name, x := range map[string][]byte{"none": nil, "half written": append(slices.Clone(cert1), cert2[:len(cert2)/2]...)} {
		write(x)
		if took, say := b.roots.Reload(time.Now()); took || say == "" {
			t.Errorf("%s: taken, said %q", name, say)
		}
	}
	if seen, _ := player.Watch(context.Background(), b.want("exam")); seen.Status != 503 || b.boxes[0].Counts().Setups != 1 {
		t.Errorf("a box that is not trusted: %+v, %d SETUPs", seen, b.boxes[0].Counts().Setups)
	}
	write(append(slices.Clone(cert1), cert2...))
	if took, say := b.roots.Reload(time.Now()); !took {
		t.Errorf("old and new together: %q", say)
	}
	b.eventually("the box serves again", func() bool {
		seen, _ := player.Watch(context.Background(), b.want("clips"))
		return seen.Status == 200
	})
	if err := <-done; err != nil {
		t.Errorf("the session that played: %v", err)
	}
	b.rules()
}
