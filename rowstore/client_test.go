package rowstore_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"

	"citronknot/rowstore"
	"citronknot/standin"
)

// Guards against a list of instances that is sent in full each second, against one that is not
// updated after a change, and against an outage that is taken for an unchanged list.
func TestInstancesAreSentOnlyIfChanged(t *testing.T) {
	p := &standin.Platform{}
	var statuses []int
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		p.ServeHTTP(recorder, r)
		statuses = append(statuses, recorder.Code)
		for name, values := range recorder.Header() {
			w.Header()[name] = values
		}
		w.WriteHeader(recorder.Code)
		_, _ = w.Write(recorder.Body.Bytes())
	}))
	defer server.Close()
	c := &rowstore.Client{URL: server.URL, HTTP: server.Client()}
	read := func() []rowstore.Listed {
		list, err := c.Instances(context.Background())
		must.NoError(t, err)
		return list
	}
	p.SetInstance(rowstore.WireInstance{ID: "i", Zone: "z", State: "live"})
	live := []rowstore.Listed{{ID: "i", Zone: "z", State: rowstore.StateLive}}
	must.Eq(t, live, read())
	held := read()
	must.Eq(t, live, held)
	held[0].ID = "changed by the caller"
	must.Eq(t, live, read())
	p.SetInstance(rowstore.WireInstance{ID: "i", Zone: "z", State: "leaving"})
	must.Eq(t, []rowstore.Listed{{ID: "i", Zone: "z", State: rowstore.StateLeaving}}, read())
	must.Eq(t, []int{200, 304, 304, 200}, statuses)
	p.SetFaults(standin.Faults{Down: true})
	_, err := c.Instances(context.Background())
	must.Error(t, err)
	p.SetFaults(standin.Faults{})
	p.SetInstance(rowstore.WireInstance{ID: "i"})
	must.SliceEmpty(t, read())
}
