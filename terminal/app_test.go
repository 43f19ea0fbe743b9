package terminal_test

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"citronknot/fleet"
	"citronknot/operator"
	"citronknot/peer"
	"citronknot/rowstore"
	"citronknot/standin"
	"citronknot/terminal"
)

const credential = "test-credential"

// commandLine runs commands against the administration API of one member, which has a simulated
// platform of its own.
type commandLine struct {
	t                *testing.T
	url              string
	platform         *standin.Platform
	conflictsLeft    atomic.Int64 // number of posted notes before which another note is accepted
	postCount        atomic.Int64
	dropNextResponse atomic.Bool // the connection is closed after the next note is accepted, without a response
}

func newCommandLine(t *testing.T) *commandLine {
	t.Helper()
	c := &commandLine{t: t, platform: &standin.Platform{}}
	store := httptest.NewServer(c.platform)
	t.Cleanup(store.Close)
	configLog := &rowstore.ConfigLog{Table: (&rowstore.Client{URL: store.URL}).Table()}
	current := &fleet.Current{}
	log := slog.New(slog.DiscardHandler)
	follower := &peer.Follower{ConfigLog: configLog, Current: current, Logger: log}
	s := &operator.Server{
		Credential: credential, Config: current.Load, Refresh: follower.Refresh, Notes: configLog.Notes, Log: log, Accept: configLog.Accept,
		Dump:     func() any { return map[string]string{"member": "m"} },
		Ready:    func() bool { return true },
		SetDrain: func(context.Context, fleet.InstanceID, bool) error { return nil },
	}
	handler := s.Handler()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			handler.ServeHTTP(w, r)
			return
		}
		c.postCount.Add(1)
		if c.conflictsLeft.Add(-1) >= 0 {
			_, err := configLog.Accept(r.Context(), fleet.ReleaseNote{ID: "other", Base: current.Load().Version})
			must.NoError(t, err)
		}
		if c.dropNextResponse.CompareAndSwap(true, false) {
			handler.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	c.url = server.URL
	return c
}

type result struct {
	code     int
	out, err string
}

func (c *commandLine) run(stdin string, args ...string) result {
	var out, errs bytes.Buffer
	code := terminal.Run(append([]string{"--url", c.url, "--credential", credential}, args...), strings.NewReader(stdin), &out, &errs)
	return result{code, out.String(), errs.String()}
}

func (c *commandLine) writeFile(name, text string) string {
	path := filepath.Join(c.t.TempDir(), name)
	must.NoError(c.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

const firstNote = `{"schema": 1, "id": "first", "base": 0, "added": {
  "pools": [{"id": "p", "max_absent": 1}],
  "teams": [{"id": "alpha", "share": 500, "limit": 7}],
  "instances": [{"id": "i1", "zone": "z", "address": "10.0.0.1:80", "slots": 8, "connections": 64, "pool": "p"}]}}`

const secondNote = `{"schema": 1, "id": "second", "base": 1,
  "added": {"teams": [{"id": "beta", "share": 10, "limit": 1}]},
  "changed": {"teams": [{"id": "alpha", "share": 600, "limit": 7}]},
  "withdrawn": {"instances": ["i1"]}}`

// Guards against wrong output and wrong exit codes of the commands for release notes and queries.
func TestNoteCommands(t *testing.T) {
	c := newCommandLine(t)
	firstFile, secondFile := c.writeFile("first.json", firstNote), c.writeFile("second.json", secondNote)
	must.Eq(t, result{0, "release note first has no faults; it would be version 1\n", ""}, c.run("", "check", firstFile))
	must.Eq(t, result{0, "release note first accepted as version 1\n", ""}, c.run("", "apply", firstFile))
	must.Eq(t, result{0, "release note first accepted as version 1\n", ""}, c.run("", "apply", firstFile))
	must.Eq(t, result{0, "~ teams alpha share: 500 -> 600\n+ teams beta limit=1 share=10\n- instances i1\n", ""}, c.run("", "diff", secondFile))
	must.Eq(t, result{0, "{\"version\":2,\"note\":\"second\",\"dry_run\":true}\n", ""}, c.run("", "--output", "json", "check", secondFile))
	must.Eq(t, result{0, "release note second accepted as version 2\n", ""}, c.run("", "apply", secondFile))
	must.Eq(t, 3, c.run("", "apply", c.writeFile("stale.json", strings.Replace(secondNote, "second", "stale", 1))).code)
	must.StrContains(t, c.run("", "history").out, "2        second  1      1        1")
	must.StrContains(t, c.run("", "history", "2").out, `"id": "second"`)
	must.StrContains(t, c.run("", "status").out, "version    2")
	must.StrContains(t, c.run("", "pools").out, "p     false  0")
	must.StrContains(t, c.run("", "teams").out, "alpha  600    7")
	must.StrContains(t, c.run("", "dump").out, `"member": "m"`)
}

// Guards against a fault without its position in the file, and against an offline check that
// needs a connection.
func TestCheckOffline(t *testing.T) {
	c := newCommandLine(t)
	must.Eq(t, 0, c.run("", "apply", c.writeFile("first.json", firstNote)).code)
	config := c.writeFile("current.json", c.run("", "config").out)
	c.url = "http://127.0.0.1:1"
	must.Eq(t, 0, c.run("", "check", "--config", config, c.writeFile("second.json", secondNote)).code)
	must.Eq(t, 3, c.run("", "check", "--config", config, c.writeFile("first.json", firstNote)).code)
	must.Eq(t, 4, c.run("", "check", c.writeFile("second.json", secondNote)).code)

	outOfRange := c.writeFile("bad.json", strings.Replace(secondNote, `"share": 10`, `"share": 20000`, 1))
	r := c.run("", "check", "--config", config, outOfRange)
	must.Eq(t, result{2, "", outOfRange + `:2:47: added.teams[0].share: "20000" is not accepted; accepted: 0 to 10000` + "\n"}, r)

	misspelt := c.writeFile("misspelt.json", strings.Replace(secondNote, `"limit": 1`, `"limits": 1`, 1))
	r = c.run("", "--output", "json", "check", "--config", config, misspelt)
	must.Eq(t, 2, r.code)
	var report struct {
		Exit   int
		Faults []struct {
			File, Field, Accepted string
			Line, Column          int
		}
	}
	must.NoError(t, json.Unmarshal([]byte(r.err), &report))
	must.Len(t, 2, report.Faults)
	must.Eq(t, "added.teams[0].limits", report.Faults[0].Field)
	must.Eq(t, 2, report.Faults[0].Line)
	must.Eq(t, misspelt, report.Faults[0].File)
}

// Guards against apply reporting a failure for a note that was accepted, when the response to
// the first attempt is lost.
func TestApplyResolvesLostResponse(t *testing.T) {
	c := newCommandLine(t)
	c.dropNextResponse.Store(true)
	must.Eq(t, result{0, "release note first accepted as version 1\n", ""}, c.run("", "apply", c.writeFile("first.json", firstNote)))
	must.Eq(t, 2, c.postCount.Load())
	must.Eq(t, 1, c.platform.Writes.Load())
}

// Guards against a key that is stored or printed again, against a grant that fails at the first
// conflict or retries without limit, and against the withdrawal of the wrong key.
func TestKeys(t *testing.T) {
	c := newCommandLine(t)
	must.Eq(t, 0, c.run("", "apply", c.writeFile("first.json", firstNote)).code)
	c.conflictsLeft.Store(2)
	r := c.run("", "keys", "grant", "alpha")
	must.Eq(t, 0, r.code, must.Sprint(r.err))
	must.Eq(t, 4, c.postCount.Load())
	secret := strings.TrimSpace(r.out)
	hash := string(fleet.HashKey(secret))
	list := c.run("", "keys", "list").out
	must.StrContains(t, list, hash[:12])
	must.StrNotContains(t, list, hash)
	must.StrNotContains(t, c.run("", "config").out, secret)
	r = c.run("", "--output", "json", "keys", "grant", "alpha")
	var granted struct{ Hash string }
	must.NoError(t, json.Unmarshal([]byte(r.out), &granted))

	must.Eq(t, 2, c.run("", "keys", "withdraw", "short").code)
	must.Eq(t, 2, c.run("", "keys", "withdraw", "00000000").code)
	must.Eq(t, 2, c.run("unknown key", "keys", "withdraw").code)
	must.Eq(t, 0, c.run(secret+"\n", "keys", "withdraw").code)
	must.StrNotContains(t, c.run("", "keys", "list").out, hash[:12])
	must.Eq(t, 0, c.run("", "keys", "withdraw", granted.Hash[:12]).code)
	must.Eq(t, "HASH  TEAM\n", c.run("", "keys", "list").out)

	c.conflictsLeft.Store(100)
	c.postCount.Store(0)
	must.Eq(t, 3, c.run("", "keys", "grant", "alpha").code)
	must.Eq(t, 5, c.postCount.Load())
}

// Guards against exit codes by which scripts cannot distinguish the causes of failures, and
// against help texts that lack an example or show the credential.
func TestExitCodes(t *testing.T) {
	c := newCommandLine(t)
	must.Eq(t, 0, c.run("", "apply", c.writeFile("first.json", firstNote)).code)
	secondFile := c.writeFile("second.json", secondNote)
	must.Eq(t, 0, c.run("", "instances", "drain", "i1").code)
	must.Eq(t, 0, c.run("", "instances", "return", "i1").code)
	must.Eq(t, 2, c.run("", "instances", "drain", "none").code)
	must.StrContains(t, c.run("", "instances", "list").out, "10.0.0.1:80")
	for _, args := range [][]string{
		{},
		{"none"},
		{"apply"},
		{"apply", "no-such-file"},
		{"--output", "xml", "status"},
		{"history", "x"},
		{"status", "x"},
		{"--credential", "wrong", "status"},
		{"--credential=", "status"},
		{"--credential-file", "no-such-file", "status"},
		{"--timeout", "0s", "status"},
		{"history", "--limit", "0"},
		{"keys", "grant", "none"},
	} {
		must.Eq(t, 2, c.run("", args...).code, must.Sprint(args))
	}
	must.Eq(t, 0, c.run("", "--credential", "wrong", "--credential-file", c.writeFile("credential", credential+"\n"), "status").code)
	for _, args := range []string{"check", "diff", "apply", "status", "config", "history", "pools", "teams", "dump", "keys list", "keys grant", "keys withdraw", "instances list", "instances drain", "instances return"} {
		r := c.run("", append(strings.Fields(args), "--help")...)
		must.Eq(t, 0, r.code)
		must.StrContains(t, r.out, "Example: citronknot "+args)
		must.StrNotContains(t, r.out, credential)
	}
	c.platform.SetFaults(standin.Faults{Down: true})
	must.Eq(t, 1, c.run("", "apply", secondFile).code)
	c.url = "http://127.0.0.1:1"
	must.Eq(t, 4, c.run("", "apply", secondFile).code)
}
