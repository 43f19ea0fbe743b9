package standin_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"

	"citronknot/standin"
)

// Guards against capacity measurements that count a refused commit as a write, or that miss the
// bytes sent and received.
func TestCounters(t *testing.T) {
	p := &standin.Platform{}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := &httptest.Server{Listener: p.Listener(listener), Config: &http.Server{Handler: p}}
	server.Start()
	defer server.Close()
	status, _ := post(p, "/v1/transactions", `{"writes":[{"table":"t","key":"k","value":1},{"table":"t","key":"l","value":1}]}`)
	must.Eq(t, 200, status)
	status, _ = post(p, "/v1/transactions", `{"checks":[{"table":"t","key":"k","version":0}],"writes":[{"table":"t","key":"k","value":2}]}`)
	must.Eq(t, 409, status)
	post(p, "/v1/reads", `{}`)
	post(p, "/v1/instances", "")
	resp, err := server.Client().Get(server.URL + "/counters")
	must.NoError(t, err)
	must.NoError(t, resp.Body.Close())
	got := p.Counters()
	must.Positive(t, got.Bytes)
	got.Bytes = 0
	must.Eq(t, standin.Counters{Writes: 1, Reads: 1, Lists: 1, Rows: 2, Refused: 1}, got)
}
