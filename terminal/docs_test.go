package terminal_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against documented commands that don't run or print something else. In a console
// block a line "$ citronknot ..." is run, and the lines up to the next one are its output;
// "..." stands for a success whose output differs each time.
func TestDocumentedCommands(t *testing.T) {
	for _, page := range []string{"README.md", "docs/OPERATIONS.md"} {
		t.Run(page, func(t *testing.T) {
			t.Chdir("..")
			text, err := os.ReadFile(page)
			must.NoError(t, err)
			c := newCLI(t)
			dir := t.TempDir()
			commands := 0
			for _, block := range strings.Split(string(text), "```console\n")[1:] {
				block, _, _ = strings.Cut(block, "```")
				for _, step := range strings.Split("\n"+block, "\n$ citronknot ")[1:] {
					line, want, _ := strings.Cut(step, "\n")
					code, got := c.shell(dir, line)
					if strings.TrimSpace(want) == "..." {
						must.Eq(t, 0, code, must.Sprint(line, got))
					} else {
						must.Eq(t, strings.TrimSpace(want), strings.TrimSpace(got), must.Sprint(line))
					}
					commands++
				}
			}
			must.Greater(t, 5, commands)
		})
	}
}

// shell runs one command line with < and > for files of dir.
func (c *cli) shell(dir, line string) (code int, output string) {
	line, to, _ := strings.Cut(line, " > ")
	line, from, _ := strings.Cut(line, " < ")
	var stdin []byte
	if from != "" {
		var err error
		stdin, err = os.ReadFile(filepath.Join(dir, from))
		must.NoError(c.t, err)
	}
	r := c.run(string(stdin), strings.Fields(line)...)
	if to != "" {
		must.NoError(c.t, os.WriteFile(filepath.Join(dir, to), []byte(r.out), 0o600))
		return r.code, r.err
	}
	return r.code, r.out + r.err
}
