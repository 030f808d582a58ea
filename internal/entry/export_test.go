package entry

import (
	"context"
	"net/http"

	"github.com/poplarshore/poplarshore/service"
)

// DecodeCompletion exports decodeCompletion for the fuzz test.
var DecodeCompletion = decodeCompletion

// ForwardedTarget returns the target that the upstream of a service, or the older router, gets for a request.
func ForwardedTarget(r *http.Request, base string, viaOldRouter bool) (string, error) {
	c := &serviceCall{exchange: &Exchange{}, service: &service.Service{}, request: r, path: servicePath(r), viaOldRouter: viaOldRouter}
	sent, err := c.newUpstreamRequest(context.Background(), base, "hop")
	if err != nil {
		return "", err
	}
	return sent.URL.RequestURI(), nil
}

// CheckTarget exports checkTarget, FingerprintPath fingerprintPath and ServicePath servicePath for tests.
var (
	CheckTarget     = checkTarget
	FingerprintPath = fingerprintPath
	ServicePath     = servicePath
)
