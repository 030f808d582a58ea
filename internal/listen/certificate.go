package listen

import (
	"crypto/tls"
	"os"
	"sync"
	"time"
)

// certificate is a certificate that is reloaded when the modification time of its file
// changes. If the new files can't be read, the previous certificate remains in use.
type certificate struct {
	certFile string
	keyFile  string

	mu      sync.Mutex
	modTime time.Time // of certFile when current was read
	current *tls.Certificate
}

// get returns the current certificate. It implements tls.Config.GetCertificate.
// Errors: ErrCertificate if no certificate could be read yet.
func (c *certificate) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	info, err := os.Stat(c.certFile)
	if err == nil && c.current != nil && info.ModTime().Equal(c.modTime) {
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
		c.modTime = info.ModTime()
	}
	return c.current, nil
}
