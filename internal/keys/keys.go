// Package keys keeps what TLS needs of files, for listeners and towards boxes, and follows the files while connections
// go on. What is taken is decided in choice/keys.
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

// following is what was taken last of some files. One goroutine looks; any may use what is in use.
type following[T any] struct {
	name  string // in the log
	read  func() (keys.CertInfo, *T)
	log   *zap.Logger
	using atomic.Pointer[T]
	pair  *keys.CertInfo // of using
	said  string
}

// Reload reads the files once and takes what is good. It tells whether it took something, and what there is to say.
func (f *following[T]) Reload(now time.Time) (took bool, say string) {
	pair, found := f.read()
	took, say = keys.ShouldReplace(seconds(now), f.pair, pair)
	if took {
		f.pair = &pair
		f.using.Store(found)
	}
	if say != f.said {
		if f.said = say; say != "" {
			f.log.Warn("certificate", zap.String("file", f.name), zap.Bool("taken", took), zap.String("what", say))
		}
	}
	if took {
		f.log.Info("certificate taken", zap.String("file", f.name))
	}
	return took, say
}

// Watch looks at the files at an even pace until the context is done.
func (f *following[T]) Watch(ctx context.Context, every time.Duration) {
	t := time.NewTicker(every)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			f.Reload(now)
		}
	}
}

func seconds(t time.Time) float64 { return float64(t.UnixNano()) / 1e9 }

// KeyPair follows a certificate's file and its key's.
type KeyPair struct{ following[tls.Certificate] }

// OpenKeyPair reads the files. They must be good at the start.
func OpenKeyPair(cert, key string, log *zap.Logger) (*KeyPair, error) {
	f := &KeyPair{following[tls.Certificate]{name: cert, log: log, read: func() (keys.CertInfo, *tls.Certificate) { return pair(cert, key) }}}
	if took, say := f.Reload(time.Now()); !took {
		return nil, fmt.Errorf("certificate %s with key %s: %s", cert, key, say)
	}
	return f, nil
}

func pair(certFile, keyFile string) (keys.CertInfo, *tls.Certificate) {
	c, err := os.ReadFile(certFile)
	if err != nil {
		return keys.CertInfo{Problem: err.Error()}, nil
	}
	k, err := os.ReadFile(keyFile)
	if err != nil {
		return keys.CertInfo{Problem: err.Error()}, nil
	}
	cert, err := tls.X509KeyPair(c, k)
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

// ServerConfig is a configuration whose new connections get what is in use; those that go on keep what they began with.
func (f *KeyPair) ServerConfig() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return f.using.Load(), nil }}
}

// Roots follows a file of the certificates that boxes are trusted by.
type Roots struct{ following[x509.CertPool] }

// OpenRoots reads the file. It must be good at the start.
func OpenRoots(file string, log *zap.Logger) (*Roots, error) {
	r := &Roots{following[x509.CertPool]{name: file, log: log, read: func() (keys.CertInfo, *x509.CertPool) { return roots(file) }}}
	if took, say := r.Reload(time.Now()); !took {
		return nil, fmt.Errorf("certificates of boxes %s: %s", file, say)
	}
	return r, nil
}

// roots reads certificates one after the other. They are good as long as any of them is: old and new stand side by side
// while boxes change over.
func roots(file string) (keys.CertInfo, *x509.CertPool) {
	all, err := os.ReadFile(file)
	if err != nil {
		return keys.CertInfo{Problem: err.Error()}, nil
	}
	p, pool := keys.CertInfo{Fingerprint: fmt.Sprintf("%x", sha256.Sum256(all))}, x509.NewCertPool()
	for rest := all; ; {
		var b *pem.Block
		if b, rest = pem.Decode(rest); b == nil {
			switch {
			case bytes.Contains(rest, []byte("-----BEGIN")):
				p.Problem = "its last certificate is not whole"
			case p.NotAfter == 0:
				p.Problem = "no certificate stands in it"
			}
			return p, pool
		}
		c, err := x509.ParseCertificate(b.Bytes)
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

// Dialer connects to a box over TLS. name is what its certificate must be for; empty is the host of its address.
func (r *Roots) Dialer(name string) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		d := tls.Dialer{Config: &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: r.using.Load(), ServerName: name}}
		c, err := d.DialContext(ctx, "tcp", address)
		var bad *tls.CertificateVerificationError
		if errors.As(err, &bad) {
			r.log.Warn("a box's certificate is not trusted", zap.String("address", address), zap.Error(err))
		}
		return c, err
	}
}
