package listen_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"log/slog"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/internal/listen"
	"github.com/poplarshore/poplarshore/settings"
)

func TestListen(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "listen")
}

// writePair writes a self-signed certificate with the serial number, and sets
// the time of change of its file.
func writePair(dir string, serial int64, changed time.Time) settings.TLS {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "test"},
		NotBefore: changed.Add(-time.Hour), NotAfter: changed.Add(1000 * time.Hour), IsCA: true, BasicConstraintsValid: true,
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	Expect(err).NotTo(HaveOccurred())
	private, err := x509.MarshalECPrivateKey(key)
	Expect(err).NotTo(HaveOccurred())
	t := settings.TLS{CertFile: filepath.Join(dir, "cert.pem"), KeyFile: filepath.Join(dir, "key.pem")}
	Expect(os.WriteFile(t.KeyFile, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: private}), 0o600)).To(Succeed())
	Expect(os.WriteFile(t.CertFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: cert}), 0o600)).To(Succeed())
	Expect(os.Chtimes(t.CertFile, changed, changed)).To(Succeed())
	return t
}

// serial makes a request and returns the serial number of the server's certificate.
func serial(address string, config *tls.Config) (int64, error) {
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: config, DisableKeepAlives: true}}
	resp, err := client.Get("https://" + address)
	if err != nil {
		return 0, err
	}
	_ = resp.Body.Close()
	return resp.TLS.PeerCertificates[0].SerialNumber.Int64(), nil
}

var _ = Describe("a listener with a certificate", func() {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	ok := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	now := time.Now()

	It("takes over a new certificate, and keeps the old one while the new is unreadable", func() {
		pair := writePair(GinkgoT().TempDir(), 1, now)
		s, err := listen.Open(settings.Listener{Address: "127.0.0.1:0", TLS: pair}, ok, listen.Bounds{}, log)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(s.Close)
		trusting := &tls.Config{InsecureSkipVerify: true}
		Expect(serial(s.Address(), trusting)).To(BeEquivalentTo(1))
		writePair(filepath.Dir(pair.CertFile), 2, now.Add(time.Minute))
		Expect(serial(s.Address(), trusting)).To(BeEquivalentTo(2))
		Expect(os.WriteFile(pair.CertFile, []byte("torn"), 0o600)).To(Succeed())
		Expect(serial(s.Address(), trusting)).To(BeEquivalentTo(2))
	})

	It("asks for client certificates where authorities are named", func() {
		pair := writePair(GinkgoT().TempDir(), 1, now)
		pair.ClientCAFile = pair.CertFile
		s, err := listen.Open(settings.Listener{Address: "127.0.0.1:0", TLS: pair}, ok, listen.Bounds{}, log)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(s.Close)
		mutual, err := listen.ClientTLS(pair.CertFile, pair)
		Expect(err).NotTo(HaveOccurred())
		Expect(serial(s.Address(), mutual)).To(BeEquivalentTo(1))
		nobody, err := listen.ClientTLS(pair.CertFile, settings.TLS{})
		Expect(err).NotTo(HaveOccurred())
		_, err = serial(s.Address(), nobody)
		Expect(err).To(HaveOccurred())
		stranger, err := listen.ClientTLS("", settings.TLS{})
		Expect(err).NotTo(HaveOccurred())
		_, err = serial(s.Address(), stranger)
		Expect(err).To(HaveOccurred())
	})
})
