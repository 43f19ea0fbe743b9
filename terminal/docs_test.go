package terminal_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against documented commands that fail or whose output differs from the page. The test
// runs each line "$ citronknot ..." of a console block and compares the output with the lines up
// to the next such line. The expected output "..." matches any output of a successful command,
// for output that varies.
func TestDocumentedCommands(t *testing.T) {
	for _, page := range []string{"README.md", "docs/OPERATIONS.md"} {
		t.Run(page, func(t *testing.T) {
			t.Chdir("..")
			text, err := os.ReadFile(page)
			must.NoError(t, err)
			c := newCommandLine(t)
			dir := t.TempDir()
			commands := 0
			for _, block := range strings.Split(string(text), "```console\n")[1:] {
				block, _, _ = strings.Cut(block, "```")
				for _, step := range strings.Split("\n"+block, "\n$ citronknot ")[1:] {
					line, want, _ := strings.Cut(step, "\n")
					code, got := c.runLine(dir, line)
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

// runLine runs one command line, in which < and > redirect input and output to files in dir.
func (c *commandLine) runLine(dir, line string) (code int, output string) {
	line, outputFile, _ := strings.Cut(line, " > ")
	line, inputFile, _ := strings.Cut(line, " < ")
	var stdin []byte
	if inputFile != "" {
		var err error
		stdin, err = os.ReadFile(filepath.Join(dir, inputFile))
		must.NoError(c.t, err)
	}
	r := c.run(string(stdin), strings.Fields(line)...)
	if outputFile != "" {
		must.NoError(c.t, os.WriteFile(filepath.Join(dir, outputFile), []byte(r.out), 0o600))
		return r.code, r.err
	}
	return r.code, r.out + r.err
}
