package terminal

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
)

// print writes a result to stdout in the format of --output: v as JSON, or text.
func (a *app) print(v any, text string) error {
	if a.Output == "json" {
		return json.NewEncoder(a.stdout).Encode(v)
	}
	_, err := fmt.Fprintln(a.stdout, text)
	return err
}

// formatTable returns rows as text with aligned columns, without a newline at the end.
func formatTable(rows [][]any) string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		cells := make([]string, len(row))
		for i, cell := range row {
			cells[i] = fmt.Sprint(cell)
		}
		_, _ = fmt.Fprintln(w, strings.Join(cells, "\t"))
	}
	_ = w.Flush() // writes to a strings.Builder do not fail
	return strings.TrimRight(b.String(), "\n")
}
