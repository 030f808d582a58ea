package relay

import (
	"net/http"
	"strconv"
	"time"

	"github.com/poplarshore/poplarshore/vm"
)

// Header fields between VMs. A request that a VM is asked to relay carries the first three.
const (
	headerRelayFor      = "Poplarshore-Relay-For"
	headerAttemptsLeft  = "Poplarshore-Attempts-Left"
	headerConfigVersion = "Poplarshore-Config-Version"
	// headerAdmittedBy is the version of the configuration by which the request was admitted, and
	// headerAge its age in ms. They are only sent to VMs that keep former configurations.
	headerAdmittedBy = "Poplarshore-Admitted-By"
	headerAge        = "Poplarshore-Age-Ms"
	// headerFirstCounted is "true" if the VM that asks counts the first attempt of the request, so that all attempts of the
	// VM that is asked are additional ones. Older builds don't send it, and count it at both.
	headerFirstCounted = "Poplarshore-First-Counted"
	// headerRefusal is the reason of a refusal by the VM itself, in its response.
	headerRefusal = "Poplarshore-Refusal"
	// refusedAtDoor is in place of a reason if the sender is no known VM, or its fields are
	// invalid. What the VM answers without headerRefusal is the upstream's.
	refusedAtDoor = "at_door"
)

// peerRequest is what a VM says of a request that it asks another one to relay.
type peerRequest struct {
	// from is the VM that asks.
	from vm.ID
	// attemptsLeft is the number of attempts that may be made, at least 1.
	attemptsLeft int
	// config is the version of the configuration by which the VM that asks handles the
	// request.
	config int64
	// keepsConfig reports whether the request is handled by the configuration that was in force when it
	// began: admittedBy or a later one, age ago.
	keepsConfig bool
	admittedBy  int64
	age         time.Duration
	// firstCounted reports whether the VM that asks counts the first attempt of the request.
	firstCounted bool
}

// addTo adds the request's fields to the header.
func (p peerRequest) addTo(h http.Header) {
	h.Set(headerRelayFor, string(p.from))
	h.Set(headerAttemptsLeft, strconv.Itoa(p.attemptsLeft))
	h.Set(headerConfigVersion, strconv.FormatInt(p.config, 10))
	h.Set(headerFirstCounted, strconv.FormatBool(p.firstCounted))
	if p.keepsConfig {
		h.Set(headerAdmittedBy, strconv.FormatInt(p.admittedBy, 10))
		h.Set(headerAge, strconv.FormatInt(p.age.Milliseconds(), 10))
	}
}

// takePeerRequest reads the request's fields and removes them from the header. It returns
// false if one is missing or invalid.
func takePeerRequest(h http.Header) (peerRequest, bool) {
	p := peerRequest{from: vm.ID(h.Get(headerRelayFor))}
	var attemptsErr, configErr error
	p.attemptsLeft, attemptsErr = strconv.Atoi(h.Get(headerAttemptsLeft))
	p.config, configErr = strconv.ParseInt(h.Get(headerConfigVersion), 10, 64)
	p.takeAge(h)
	p.firstCounted = h.Get(headerFirstCounted) == "true"
	for _, name := range []string{headerRelayFor, headerAttemptsLeft, headerConfigVersion, headerAdmittedBy, headerAge, headerFirstCounted} {
		h.Del(name)
	}
	return p, p.from != "" && attemptsErr == nil && configErr == nil && p.attemptsLeft >= 1
}

// takeAge reads when and by which configuration the request was admitted. Without these, or if they are
// invalid, it is handled by the configuration in force.
func (p *peerRequest) takeAge(h http.Header) {
	admittedBy, versionErr := strconv.ParseInt(h.Get(headerAdmittedBy), 10, 64)
	age, ageErr := strconv.ParseInt(h.Get(headerAge), 10, 64)
	if versionErr != nil || ageErr != nil || age < 0 || age > maxAge.Milliseconds() {
		return
	}
	p.keepsConfig, p.admittedBy, p.age = true, admittedBy, time.Duration(age)*time.Millisecond
}

// maxAge is the highest age of a request that another VM may name.
const maxAge = time.Hour
