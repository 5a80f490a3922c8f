package kvstore_test

import (
	"net/http/httptest"
	"testing"

	"limpetwall/internal/transport/kvstore"
	"limpetwall/internal/transport/kvstore/kvstoretest"
	"limpetwall/internal/transport/kvstore/standin"
)

func TestStandinContract(t *testing.T) {
	kvstoretest.Run(t, func(*testing.T) kvstore.Store { return standin.New(kvstoretest.Capacity) })
}

func TestClientContract(t *testing.T) {
	kvstoretest.Run(t, func(t *testing.T) kvstore.Store {
		server := httptest.NewServer(standin.New(kvstoretest.Capacity).Handler())
		t.Cleanup(server.Close)
		return kvstore.NewClient(server.URL, server.Client())
	})
}
