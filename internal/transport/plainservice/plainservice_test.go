package plainservice_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"limpetwall/internal/transport/plainservice"
	"limpetwall/internal/transport/plainservice/plainservicetest"
)

func TestClientContract(t *testing.T) {
	gone := httptest.NewServer(http.NotFoundHandler())
	gone.Close()
	plainservicetest.Run(t, func(handler http.Handler) plainservice.Service {
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		return plainservice.NewClient(server.URL, plainservice.NewTransport())
	}, plainservice.NewClient(gone.URL, plainservice.NewTransport()))
}
