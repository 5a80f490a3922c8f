package entry

import (
	"net/http"
	"time"

	"limpetwall/internal/protocol/apierror"
	"limpetwall/internal/state/fingerprint"
	"limpetwall/internal/transport/httpjson"
)

// serveQuarantines lists the requests that are not run because they crash endpoints.
func (e *Entry) serveQuarantines(w http.ResponseWriter, r *http.Request, _ string) *apierror.Error {
	entries, err := e.Runner.Guard.List(r.Context())
	if err != nil {
		return apierror.Later(http.StatusServiceUnavailable, apierror.CodePlatform, "the record of quarantines can't be read: "+err.Error(), time.Second)
	}
	httpjson.Write(w, http.StatusOK, entries)
	return nil
}

// serveLift ends a quarantine. It is in force here at once, and everywhere as fast as other news.
func (e *Entry) serveLift(w http.ResponseWriter, r *http.Request, operator string) *apierror.Error {
	key, ok := fingerprint.Parse(r.PathValue("fingerprint"))
	if !ok {
		return apierror.New(http.StatusBadRequest, apierror.CodeBadRequest, fingerprint.ErrMalformed.Error())
	}
	if !e.Runner.Guard.Lift(key, operator) {
		return apierror.New(http.StatusNotFound, apierror.CodeNotFound, "no request with this fingerprint is in quarantine")
	}
	httpjson.Write(w, http.StatusOK, struct {
		Lifted fingerprint.Key `json:"lifted"`
	}{key})
	return nil
}
