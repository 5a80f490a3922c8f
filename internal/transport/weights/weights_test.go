package weights_test

import (
	"net/http/httptest"
	"testing"

	"limpetwall/internal/transport/weights"
	"limpetwall/internal/transport/weights/standin"
	"limpetwall/internal/transport/weights/weightstest"
)

func TestContract(t *testing.T) {
	info := weights.Info{Model: "org/toy", Version: "v1", Bytes: 7, WaitMS: 3}
	store := standin.New(info)
	weightstest.Run(t, info, store)
	server := httptest.NewServer(store.Handler())
	defer server.Close()
	weightstest.Run(t, info, weights.NewClient(server.URL, server.Client()))
}
