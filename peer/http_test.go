package peer_test

import (
	"bytes"
	"compress/gzip"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/peer"
)

func gzipped(t *testing.T, text []byte) []byte {
	t.Helper()
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	_, err := z.Write(text)
	must.NoError(t, err)
	must.NoError(t, z.Close())
	return b.Bytes()
}

// Guards against a message that has no valid credential, is malformed or exceeds a limit
// changing the state of a member.
func TestServerRejectsInvalidMessages(t *testing.T) {
	const good = `{"from":"a"}`
	for _, tc := range []struct {
		name, credential, auth, body, encoding string
		want                                   int
	}{
		{"good", "secret", "Bearer secret", good, "", 200},
		{"no credential", "secret", "", good, "", 401},
		{"wrong credential", "secret", "Bearer secres", good, "", 401},
		{"longer credential", "secret", "Bearer secret1", good, "", 401},
		{"other scheme", "secret", "secret", good, "", 401},
		{"no credential configured", "", "Bearer ", good, "", 401},
		{"not JSON", "secret", "Bearer secret", "{", "", 400},
		{"text after", "secret", "Bearer secret", good + good, "", 400},
		{"no sender", "secret", "Bearer secret", `{}`, "", 400},
		{"long sender", "secret", "Bearer secret", `{"from":"` + strings.Repeat("a", 129) + `"}`, "", 400},
		{"negative age", "secret", "Bearer secret", `{"from":"a","state":{"age_ms":-1}}`, "", 400},
		{"negative load", "secret", "Bearer secret", `{"from":"a","items":{"names":["z"],"loads":[{"m":"a","z":0,"p":[[0,-1,0,0,0,0]]}]}}`, "", 400},
		{"name out of range", "secret", "Bearer secret", `{"from":"a","items":{"names":["z"],"loads":[{"m":"a","z":0,"p":[[1,1,0,0,0,0]]}]}}`, "", 400},
		{"half a team", "secret", "Bearer secret", `{"from":"a","items":{"names":["z"],"loads":[{"m":"a","z":0,"p":[[0,1,0,0,0,0,0,1]]}]}}`, "", 400},
		{"good load", "secret", "Bearer secret", `{"from":"a","items":{"names":["z"],"loads":[{"m":"a","z":0,"t":[0,3],"p":[[0,1,0,0,0,0,0,1,2]]}]}}`, "", 200},
		{"half a target", "secret", "Bearer secret", `{"from":"a","items":{"names":["z"],"loads":[{"m":"a","z":0,"t":[0]}]}}`, "", 400},
		{"half a stamp", "secret", "Bearer secret", `{"from":"a","vec":{"load":["a"],"at":[1]}}`, "", 400},
		{"bad note", "secret", "Bearer secret", `{"from":"a","items":{"notes":[{"schema":9,"id":"n"}]}}`, "", 400},
		{"version not above base", "secret", "Bearer secret", `{"from":"a","items":{"assignments":[{"zone":"z","base":2,"version":2}]}}`, "", 400},
		{"too many wants", "secret", "Bearer secret", `{"from":"a","want":{"load":[` + strings.Repeat(`"m",`, 256) + `"m"]}}`, "", 400},
		{"not gzip", "secret", "Bearer secret", good, "gzip", 400},
		{"too long once unpacked", "secret", "Bearer secret", string(gzipped(t, append([]byte(good), bytes.Repeat([]byte(" "), 9<<20)...))), "gzip", 400},
	} {
		t.Run(tc.name, func(t *testing.T) {
			answered := false
			s := peer.Server{Credential: tc.credential, Respond: func(peer.Message) peer.Message {
				answered = true
				return peer.Message{From: "b"}
			}}
			r := httptest.NewRequest(http.MethodPost, "/v1/exchange", strings.NewReader(tc.body))
			r.Header.Set("Authorization", tc.auth)
			r.Header.Set("Content-Encoding", tc.encoding)
			w := httptest.NewRecorder()
			s.Handler().ServeHTTP(w, r)
			must.Eq(t, tc.want, w.Code)
			must.Eq(t, tc.want == 200, answered)
		})
	}
}

// Guards against a field that is lost or changed in transit between two members.
func TestMessageRoundTrip(t *testing.T) {
	m := peer.Message{
		From: "a", HasVector: true,
		Vector:    peer.Vector{Config: 7, Zones: map[fleet.ZoneID]fleet.Version{"z": 3}, Loads: map[fleet.MemberID]peer.Stamp{}, Partial: true},
		Requested: peer.ItemRequest{NotesAfter: 2, NotesTo: 9, Zones: map[fleet.ZoneID]fleet.Version{"z": 1}, Loads: []fleet.MemberID{"c"}},
		Items: peer.Items{
			Notes: []fleet.ReleaseNote{{ID: "n", Base: 2, Withdrawn: fleet.Refs{Keys: []fleet.KeyHash{"k"}}}},
			Assignments: []fleet.AssignmentChange{{
				Zone: "z", Base: 1, Version: 3, Removed: []fleet.InstanceID{"j"},
				Set: map[fleet.InstanceID]fleet.Placement{"i": {Pool: "p", Phase: fleet.Draining}},
			}},
			Loads: []peer.Summary{{
				Member: "a", Zone: "z", Stamp: peer.Stamp{Epoch: 4, Seq: 5}, Assignment: 3, Age: 12, Targets: map[fleet.InstanceID]int{"i": 2},
				Pools: map[fleet.PoolID]peer.PoolLoad{"p": {InFlight: 2, Slots: 8, LongestWait: 5, Finished: 7, Refused: 9, Teams: map[fleet.TeamID]peer.TeamLoad{"t": {Running: 1, Waiting: 6}}}},
			}},
		},
		Status: peer.ConfigStatus{NewestVersion: 7, TableReachable: true, HasReadTable: true, SubmissionPending: true, Confirmed: true, ConfirmedVersion: 7, ConfirmationAge: 42},
	}
	// The message has to be long enough to be compressed.
	for i := range 100 {
		m.Requested.Loads = append(m.Requested.Loads, fleet.MemberID(strings.Repeat("x", i+1)))
	}
	var received peer.Message
	s := &peer.Server{Credential: "secret", Respond: func(q peer.Message) peer.Message { received = q; return q }}
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	c := peer.Client{Credential: "secret", HTTP: server.Client(), Timeout: clock.Millis(5000)}
	response, err := c.Call(context.Background(), peer.Member{ID: "b", Address: server.Listener.Addr().String()}, m)
	must.NoError(t, err)
	must.Eq(t, m, received)
	must.Eq(t, m, response)
	c.Credential = "other"
	_, err = c.Call(context.Background(), peer.Member{ID: "b", Address: server.Listener.Addr().String()}, m)
	must.Error(t, err)
}
