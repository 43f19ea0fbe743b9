package operator_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"citronknot/note"
	"citronknot/operator"
)

func request(t testing.TB, m *operator.Client, method, path, body string) *http.Request {
	t.Helper()
	req, err := http.NewRequest(method, m.URL+path, strings.NewReader(body))
	must.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+m.Credential)
	return req
}

func get(t testing.TB, m *operator.Client, path string, out any) {
	t.Helper()
	text, err := m.Get(context.Background(), path)
	must.NoError(t, err)
	must.NoError(t, json.Unmarshal(text, out))
}

// Guards against error responses that are not problem documents or that lack the field and its
// accepted values, and against access without the credential.
func TestProblems(t *testing.T) {
	m := newFixture(t).startMember(t, nil)
	wrongCredential := &operator.Client{URL: m.URL, Credential: "wrong"}
	noCredential := &operator.Client{URL: m.URL}
	tests := []struct {
		client             *operator.Client
		method, path, body string
		status             int
		field              string
	}{
		{m, "GET", "/v1/none", "", 404, ""},
		{m, "GET", "/", "", 404, ""},
		{m, "DELETE", "/v1/notes", "", 405, ""},
		{m, "GET", "/v1/instances/i/drain", "", 405, ""},
		{m, "POST", "/v1/instances/i/drain", "", 404, ""},
		{m, "GET", "/v1/notes/7", "", 404, ""},
		{m, "GET", "/v1/notes/x", "", 400, "version"},
		{m, "GET", "/v1/notes?limit=101", "", 400, "limit"},
		{m, "GET", "/v1/notes?before=0", "", 400, "before"},
		{m, "POST", "/v1/notes", `{"schema": 1, "id": "A", "base": 0}`, 400, "id"},
		{m, "POST", "/v1/notes", strings.Repeat(" ", note.MaxSize+1), 413, "body"},
		{wrongCredential, "GET", "/v1/status", "", 401, ""},
		{noCredential, "POST", "/v1/notes", "", 401, ""},
		{noCredential, "GET", "/v1/config", "", 401, ""},
		{noCredential, "GET", "/debug/state", "", 401, ""},
	}
	for _, tc := range tests {
		t.Run(fmt.Sprint(tc.method, tc.path, tc.status), func(t *testing.T) {
			resp, err := http.DefaultClient.Do(request(t, tc.client, tc.method, tc.path, tc.body))
			must.NoError(t, err)
			defer resp.Body.Close()
			must.Eq(t, tc.status, resp.StatusCode)
			must.Eq(t, "application/problem+json", resp.Header.Get("Content-Type"))
			var p struct{ Type, Title, Detail, Field, Accepted string }
			must.NoError(t, json.NewDecoder(resp.Body).Decode(&p))
			must.NotEq(t, "", p.Title)
			must.NotEq(t, "", p.Detail)
			must.Eq(t, tc.field, p.Field)
			must.Eq(t, tc.field == "", p.Accepted == "")
			if tc.status == http.StatusMethodNotAllowed {
				must.NotEq(t, "", resp.Header.Get("Allow"))
			}
		})
	}
}
