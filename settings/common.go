package settings

import (
	"net"
	"net/url"
	"time"

	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/strictjson"
	"github.com/poplarshore/poplarshore/upstream"
	"github.com/poplarshore/poplarshore/vm"
)

// Millis is a duration in whole milliseconds.
type Millis int64

// Duration returns the duration as a time.Duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// Seconds is a duration in seconds, which may have a fraction.
type Seconds float64

// Duration returns the duration as a time.Duration.
func (s Seconds) Duration() time.Duration {
	return time.Duration(float64(s) * float64(time.Second))
}

// VM identifies the VM on which a process runs.
type VM struct {
	ID     vm.ID         `json:"id" doc:"Name of this VM, unique in the environment. Required."`
	Domain domain.ID     `json:"domain" doc:"Failure domain of this VM. Required."`
	Region domain.Region `json:"region" doc:"Region of this VM. Required."`
}

func (v VM) check(text *strictjson.Text) {
	checkRequired(text, "vm.id", string(v.ID))
	checkRequired(text, "vm.domain", string(v.Domain))
	checkRequired(text, "vm.region", string(v.Region))
}

// Listener configures an address to listen on. A plain listener, without TLS, is allowed
// only on loopback addresses, unless AllowPlain is set.
type Listener struct {
	Address string `json:"address" doc:"IP address and port; port 0 takes a free one."`
	TLS     TLS    `json:"tls" doc:"Certificate; empty means plain, which only loopback addresses may be unless allow_plain is true."`
	// AllowPlain permits a plain listener on an address that is not loopback.
	AllowPlain bool `json:"allow_plain" doc:"Permits a plain listener beyond loopback, for networks that encrypt by themselves. Default false."`
}

// TLS names certificate files. They are read again when they change.
type TLS struct {
	CertFile     string `json:"cert_file" doc:"PEM file with the certificate chain."`
	KeyFile      string `json:"key_file" doc:"PEM file with the private key."`
	ClientCAFile string `json:"client_ca_file" doc:"PEM file with the authorities whose client certificates are required; empty asks for none."`
}

// Enabled reports whether a certificate is configured.
func (t TLS) Enabled() bool {
	return t.CertFile != ""
}

func (l Listener) check(text *strictjson.Text, path string) {
	host, _, err := net.SplitHostPort(l.Address)
	if err != nil {
		text.AddFault(path+".address", "must be host:port: %v", err)
		return
	}
	if (l.TLS.CertFile == "") != (l.TLS.KeyFile == "") {
		text.AddFault(path+".tls", "cert_file and key_file must be set together")
	}
	ip := net.ParseIP(host)
	if !l.TLS.Enabled() && !l.AllowPlain && (ip == nil || !ip.IsLoopback()) {
		text.AddFault(path, "needs tls, as %q is not a loopback address; or set allow_plain", host)
	}
}

// Platform configures the addresses of the platform's services.
type Platform struct {
	Table   string `json:"table" doc:"Base URL of the table service. Required."`
	Objects string `json:"objects" doc:"Base URL of the object store. Required."`
	VMList  string `json:"vm_list" doc:"Base URL of the list of VMs. Required."`
	Rater   string `json:"rater" doc:"Base URL of the rating service; empty means that answers are not rated."`
	Prefix  string `json:"prefix" doc:"Prefix of all rows and objects of this environment. Default \"poplarshore/\"."`
}

func (p Platform) check(text *strictjson.Text) {
	for _, setting := range []struct{ path, value string }{
		{"platform.table", p.Table}, {"platform.objects", p.Objects}, {"platform.vm_list", p.VMList},
	} {
		checkRequired(text, setting.path, setting.value)
		checkURL(text, setting.path, setting.value)
	}
	checkURL(text, "platform.rater", p.Rater)
}

// Log configures the log of a process.
type Log struct {
	Format string `json:"format" doc:"text or json. Default text."`
	Level  string `json:"level" doc:"debug, info, warn or error. Default info."`
}

func (l Log) check(text *strictjson.Text) {
	if l.Format != "text" && l.Format != "json" {
		text.AddFault("log.format", "must be \"text\" or \"json\"")
	}
	switch l.Level {
	case "debug", "info", "warn", "error":
	default:
		text.AddFault("log.level", "must be \"debug\", \"info\", \"warn\" or \"error\"")
	}
}

// Addresses contains the base URLs of upstreams, by the ids in the document.
type Addresses map[upstream.ID]string

// Address returns the base URL of an upstream; false if there is none.
func (a Addresses) Address(id upstream.ID) (string, bool) {
	url, ok := a[id]
	return url, ok
}

func (a Addresses) check(text *strictjson.Text) {
	for id, value := range a {
		checkURL(text, "upstreams."+string(id), value)
	}
}

// checkRequired adds a fault if the value is empty.
func checkRequired(text *strictjson.Text, path, value string) {
	if value == "" {
		text.AddFault(path, "is required")
	}
}

// checkURL adds a fault if the value is neither empty nor an absolute HTTP URL.
func checkURL(text *strictjson.Text, path, value string) {
	if value == "" {
		return
	}
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		text.AddFault(path, "must be a URL with http or https and a host")
	}
}

// checkPositive adds a fault if the value is 0 or negative.
func checkPositive[T int64 | Millis | int | Seconds](text *strictjson.Text, path string, value T) {
	if value <= 0 {
		text.AddFault(path, "must be over 0")
	}
}
