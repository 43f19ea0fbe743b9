package hosted_test

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"citronknot/terminal"
)

func (m *member) operatorURL() string {
	return fmt.Sprintf("http://%s:%d", m.settings.IP, m.settings.MetricsPort)
}

// Guards against documented commands that do not run or print something else.
func TestDocumentedCommands(t *testing.T) {
	s := newSite(t, 2, 1)
	t.Chdir("..")
	s.owner()
	m := s.members[0]
	t.Setenv("CITRONKNOT_URL", m.operatorURL())
	t.Setenv("CITRONKNOT_OPERATOR_CREDENTIAL", credential)
	t.Setenv("CITRONKNOT_KEY", key)
	run := func(args ...string) string {
		var out bytes.Buffer
		terminal.Run(args, strings.NewReader(""), &out, &out)
		return strings.TrimSpace(out.String())
	}
	s.until(10*time.Second, "the worker is ready", func() bool { return strings.Contains(run("workers"), "ready") })
	text, err := os.ReadFile("README.md")
	must.NoError(t, err)
	_, block, found := strings.Cut(string(text), "```sh-session\n")
	must.True(t, found)
	block, _, _ = strings.Cut(block, "```")
	for _, step := range strings.Split("\n"+block, "\n$ citronknot ")[1:] {
		line, want, _ := strings.Cut(step, "\n")
		if strings.HasPrefix(line, "workers") { // the tasks of the cancelled job end in their own time
			s.until(5*time.Second, line, func() bool { return run("workers") == strings.TrimSpace(want) })
			continue
		}
		must.Eq(t, strings.TrimSpace(want), run(strings.Fields(line)...), must.Sprint(line))
	}
}

func TestOperatorsNeedTheirCredential(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, 1)
	s.owner()
	for _, path := range []string{"/v1/workers", "/v1/waves"} {
		resp, err := http.Get(s.members[0].operatorURL() + path)
		must.NoError(t, err)
		_ = resp.Body.Close()
		must.Eq(t, http.StatusUnauthorized, resp.StatusCode, must.Sprint(path))
	}
	resp, err := http.Get(s.members[0].operatorURL() + "/metrics")
	must.NoError(t, err)
	_ = resp.Body.Close()
	must.Eq(t, http.StatusOK, resp.StatusCode)
}
