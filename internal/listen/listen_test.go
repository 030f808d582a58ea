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

// writeCertificate writes a self-signed certificate with the serial number and its key
// to files in dir, and sets the modification time of the certificate's file.
func writeCertificate(dir string, serial int64, modTime time.Time) settings.TLS {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "test"},
		NotBefore: modTime.Add(-time.Hour), NotAfter: modTime.Add(1000 * time.Hour), IsCA: true, BasicConstraintsValid: true,
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	Expect(err).NotTo(HaveOccurred())
	privateKey, err := x509.MarshalECPrivateKey(key)
	Expect(err).NotTo(HaveOccurred())
	t := settings.TLS{CertFile: filepath.Join(dir, "cert.pem"), KeyFile: filepath.Join(dir, "key.pem")}
	Expect(os.WriteFile(t.KeyFile, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: privateKey}), 0o600)).To(Succeed())
	Expect(os.WriteFile(t.CertFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: cert}), 0o600)).To(Succeed())
	Expect(os.Chtimes(t.CertFile, modTime, modTime)).To(Succeed())
	return t
}

// serverSerialNumber sends a request and returns the serial number of the server's
// certificate.
func serverSerialNumber(address string, config *tls.Config) (int64, error) {
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: config, DisableKeepAlives: true}}
	resp, err := client.Get("https://" + address)
	if err != nil {
		return 0, err
	}
	_ = resp.Body.Close()
	return resp.TLS.PeerCertificates[0].SerialNumber.Int64(), nil
}

var _ = Describe("Server with TLS", func() {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	ok := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	now := time.Now()

	It("reloads a changed certificate, and keeps the previous one if the new file is invalid", func() {
		pair := writeCertificate(GinkgoT().TempDir(), 1, now)
		s, err := listen.Open(settings.Listener{Address: "127.0.0.1:0", TLS: pair}, ok, listen.Bounds{}, log)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(s.Close)
		skipVerify := &tls.Config{InsecureSkipVerify: true}
		Expect(serverSerialNumber(s.Address(), skipVerify)).To(BeEquivalentTo(1))
		writeCertificate(filepath.Dir(pair.CertFile), 2, now.Add(time.Minute))
		Expect(serverSerialNumber(s.Address(), skipVerify)).To(BeEquivalentTo(2))
		Expect(os.WriteFile(pair.CertFile, []byte("torn"), 0o600)).To(Succeed())
		Expect(serverSerialNumber(s.Address(), skipVerify)).To(BeEquivalentTo(2))
	})

	It("requires a client certificate if client certificate authorities are set", func() {
		pair := writeCertificate(GinkgoT().TempDir(), 1, now)
		pair.ClientCAFile = pair.CertFile
		s, err := listen.Open(settings.Listener{Address: "127.0.0.1:0", TLS: pair}, ok, listen.Bounds{}, log)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(s.Close)
		withCertificate, err := listen.ClientTLS(pair.CertFile, pair)
		Expect(err).NotTo(HaveOccurred())
		Expect(serverSerialNumber(s.Address(), withCertificate)).To(BeEquivalentTo(1))
		withoutCertificate, err := listen.ClientTLS(pair.CertFile, settings.TLS{})
		Expect(err).NotTo(HaveOccurred())
		_, err = serverSerialNumber(s.Address(), withoutCertificate)
		Expect(err).To(HaveOccurred())
		withoutCA, err := listen.ClientTLS("", settings.TLS{})
		Expect(err).NotTo(HaveOccurred())
		_, err = serverSerialNumber(s.Address(), withoutCA)
		Expect(err).To(HaveOccurred())
	})
})
