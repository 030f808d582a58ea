package listen

import (
	"crypto/tls"
	"os"
	"sync"
	"time"
)

// certificate is a certificate in files. It is read again when the time of
// change of its file does; while the new files can't be read the old
// certificate stays.
type certificate struct {
	certFile string
	keyFile  string

	mu      sync.Mutex
	changed time.Time
	current *tls.Certificate
}

func (c *certificate) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	info, err := os.Stat(c.certFile)
	if err == nil && c.current != nil && info.ModTime().Equal(c.changed) {
		return c.current, nil
	}
	pair, err := tls.LoadX509KeyPair(c.certFile, c.keyFile)
	if err != nil {
		if c.current != nil {
			return c.current, nil
		}
		return nil, ErrCertificate.Wrap(err, "certificate")
	}
	c.current = &pair
	if info != nil {
		c.changed = info.ModTime()
	}
	return c.current, nil
}
