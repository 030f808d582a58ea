package quarantines_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/internal/quarantines"
)

// call sends a request to the guard of a VM.
func (f *fleet) call(vm int, method, path string) *httptest.ResponseRecorder {
	mux := http.NewServeMux()
	mux.HandleFunc(quarantines.ListPath, f.guards[vm].ServeList)
	mux.HandleFunc(quarantines.LiftPath, f.guards[vm].ServeLift)
	w := httptest.NewRecorder()
	mux.ServeHTTP(w, httptest.NewRequest(method, path, nil))
	return w
}

func TestOperatorListsAndLiftsQuarantines(t *testing.T) {
	f := newFleet(t, 2)
	for range 3 {
		f.crash(0, "bad")
	}
	var listing quarantines.Listing
	f.Expect(json.Unmarshal(f.call(1, "GET", "/quarantine").Body.Bytes(), &listing)).To(Succeed())
	f.Expect(listing.Entries).To(HaveLen(1))
	path := "/quarantine/" + listing.Entries[0].Key.String()
	f.Expect(f.call(1, "DELETE", path+"?by=ann").Code).To(Equal(http.StatusNoContent))
	f.pass(2e9)
	f.Expect(f.isExcluded(0, "bad")).To(BeFalse())
	f.Expect(f.call(0, "DELETE", path).Code).To(Equal(http.StatusNotFound))
	f.Expect(f.call(0, "DELETE", "/quarantine/nokey").Code).To(Equal(http.StatusBadRequest))
}
