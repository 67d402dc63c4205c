// Package keys keeps a certificate and its key for listeners, and follows their files while connections go on. What is
// taken is decided in choice/keys.
package keys

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"rainhaven/choice/keys"
)

// Files follows a certificate's file and its key's.
type Files struct {
	cert, key string
	log       *zap.Logger
	using     atomic.Pointer[tls.Certificate]
	pair      *keys.Pair // of using; the follower's
	said      string
}

// Open reads the files. They must be good at the start.
func Open(cert, key string, log *zap.Logger) (*Files, error) {
	f := &Files{cert: cert, key: key, log: log}
	if took, say := f.Look(time.Now()); !took {
		return nil, fmt.Errorf("certificate %s with key %s: %s", cert, key, say)
	}
	return f, nil
}

// Look reads the files once and takes what is good. It tells whether it took something, and what there is to say.
func (f *Files) Look(now time.Time) (took bool, say string) {
	pair, cert := read(f.cert, f.key)
	took, say = keys.Take(seconds(now), f.pair, pair)
	if took {
		f.pair = &pair
		f.using.Store(cert)
	}
	if say != f.said {
		if f.said = say; say != "" {
			f.log.Warn("certificate", zap.String("file", f.cert), zap.Bool("taken", took), zap.String("what", say))
		}
	}
	if took {
		f.log.Info("certificate taken", zap.String("file", f.cert))
	}
	return took, say
}

func seconds(t time.Time) float64 { return float64(t.UnixNano()) / 1e9 }

func read(certFile, keyFile string) (keys.Pair, *tls.Certificate) {
	c, err := os.ReadFile(certFile)
	if err != nil {
		return keys.Pair{Problem: err.Error()}, nil
	}
	k, err := os.ReadFile(keyFile)
	if err != nil {
		return keys.Pair{Problem: err.Error()}, nil
	}
	cert, err := tls.X509KeyPair(c, k)
	if err != nil {
		return keys.Pair{Problem: err.Error()}, nil
	}
	leaf, err := x509.ParseCertificate(cert.Certificate[0])
	if err != nil {
		return keys.Pair{Problem: err.Error()}, nil
	}
	cert.Leaf = leaf
	return keys.Pair{From: seconds(leaf.NotBefore), Until: seconds(leaf.NotAfter), Print: fmt.Sprintf("%x", sha256.Sum256(leaf.Raw))}, &cert
}

// Follow looks at the files at an even pace until the context is done.
func (f *Files) Follow(ctx context.Context, every time.Duration) {
	t := time.NewTicker(every)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			f.Look(now)
		}
	}
}

// TLS is a configuration whose new connections get what is in use; those that go on keep what they began with.
func (f *Files) TLS() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return f.using.Load(), nil }}
}
