// Package keys loads the TLS certificates of listeners and the root certificates for connections to boxes from files, and
// reloads them when the files change. Established connections are not affected. Package choice/keys decides whether a file's
// new contents are used.
package keys

import (
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"rainhaven/choice/keys"
)

// watcher holds the contents last loaded from some files. Only one goroutine may call Reload; any may use current.
type watcher[T any] struct {
	name     string // in log entries
	read     func() (keys.CertInfo, *T)
	log      *zap.Logger
	current  atomic.Pointer[T]
	pair     *keys.CertInfo // describes current
	lastNote string         // note last logged, or ""
}

// Reload reads the files once and uses their contents if they are good. It reports whether it did, and a note on the
// certificate's problems or its approaching expiry, or "".
func (w *watcher[T]) Reload(now time.Time) (loaded bool, note string) {
	pair, contents := w.read()
	loaded, note = keys.ShouldReplace(seconds(now), w.pair, pair)
	if loaded {
		w.pair = &pair
		w.current.Store(contents)
	}
	if note != w.lastNote {
		if w.lastNote = note; note != "" {
			w.log.Warn("certificate", zap.String("file", w.name), zap.Bool("taken", loaded), zap.String("what", note))
		}
	}
	if loaded {
		w.log.Info("certificate taken", zap.String("file", w.name))
	}
	return loaded, note
}

// Watch calls Reload at each interval until the context is done.
func (w *watcher[T]) Watch(ctx context.Context, interval time.Duration) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			w.Reload(now)
		}
	}
}

// seconds converts a time to Unix time in seconds.
func seconds(t time.Time) float64 { return float64(t.UnixNano()) / 1e9 }

// KeyPair holds a certificate and its key, and reloads them when their files change.
type KeyPair struct{ watcher[tls.Certificate] }

// OpenKeyPair loads a certificate and its key. It fails if they can't be used.
func OpenKeyPair(cert, key string, log *zap.Logger) (*KeyPair, error) {
	k := &KeyPair{watcher[tls.Certificate]{name: cert, log: log, read: func() (keys.CertInfo, *tls.Certificate) { return readKeyPair(cert, key) }}}
	if loaded, note := k.Reload(time.Now()); !loaded {
		return nil, fmt.Errorf("certificate %s with key %s: %s", cert, key, note)
	}
	return k, nil
}

func readKeyPair(certFile, keyFile string) (keys.CertInfo, *tls.Certificate) {
	certPEM, err := os.ReadFile(certFile)
	if err != nil {
		return keys.CertInfo{Problem: err.Error()}, nil
	}
	keyPEM, err := os.ReadFile(keyFile)
	if err != nil {
		return keys.CertInfo{Problem: err.Error()}, nil
	}
	cert, err := tls.X509KeyPair(certPEM, keyPEM)
	if err != nil {
		return keys.CertInfo{Problem: err.Error()}, nil
	}
	leaf, err := x509.ParseCertificate(cert.Certificate[0])
	if err != nil {
		return keys.CertInfo{Problem: err.Error()}, nil
	}
	cert.Leaf = leaf
	return keys.CertInfo{NotBefore: seconds(leaf.NotBefore), NotAfter: seconds(leaf.NotAfter), Fingerprint: fmt.Sprintf("%x", sha256.Sum256(leaf.Raw))}, &cert
}

// ServerConfig returns a configuration that gives new connections the current certificate. Established connections keep the
// one they started with.
func (k *KeyPair) ServerConfig() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return k.current.Load(), nil }}
}

// Roots holds the root certificates that boxes are verified against, and reloads them when their file changes.
type Roots struct{ watcher[x509.CertPool] }

// OpenRoots loads the root certificates of a file. It fails if they can't be used.
func OpenRoots(file string, log *zap.Logger) (*Roots, error) {
	r := &Roots{watcher[x509.CertPool]{name: file, log: log, read: func() (keys.CertInfo, *x509.CertPool) { return readRoots(file) }}}
	if loaded, note := r.Reload(time.Now()); !loaded {
		return nil, fmt.Errorf("root certificates %s for boxes: %s", file, note)
	}
	return r, nil
}

// readRoots reads the certificates of a PEM file. The file is valid as long as any of its certificates is, because it holds
// both the old and the new ones while the boxes' certificates are replaced.
func readRoots(file string) (keys.CertInfo, *x509.CertPool) {
	data, err := os.ReadFile(file)
	if err != nil {
		return keys.CertInfo{Problem: err.Error()}, nil
	}
	p, pool := keys.CertInfo{Fingerprint: fmt.Sprintf("%x", sha256.Sum256(data))}, x509.NewCertPool()
	for rest := data; ; {
		var block *pem.Block
		if block, rest = pem.Decode(rest); block == nil {
			switch {
			case bytes.Contains(rest, []byte("-----BEGIN")):
				p.Problem = "the last certificate is incomplete"
			case p.NotAfter == 0:
				p.Problem = "the file holds no certificate"
			}
			return p, pool
		}
		c, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return keys.CertInfo{Problem: err.Error()}, nil
		}
		from, until := seconds(c.NotBefore), seconds(c.NotAfter)
		if p.NotAfter == 0 || from < p.NotBefore {
			p.NotBefore = from
		}
		p.NotAfter = max(p.NotAfter, until)
		pool.AddCert(c)
	}
}

// Dialer returns a function that connects to a box over TLS. The box's certificate must be valid for name, or for the host of
// the address if name is empty.
func (r *Roots) Dialer(name string) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		d := tls.Dialer{Config: &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: r.current.Load(), ServerName: name}}
		c, err := d.DialContext(ctx, "tcp", address)
		var untrusted *tls.CertificateVerificationError
		if errors.As(err, &untrusted) {
			r.log.Warn("a box's certificate is not trusted", zap.String("address", address), zap.Error(err))
		}
		return c, err
	}
}
