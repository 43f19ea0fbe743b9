package rowstore_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"citronknot/rowstore"
)

// Guards against a commit that is repeated until its lease expires, because the table service refuses one of
// its rows and no log names that row.
func TestTransactionCheckNamesTheRefusedRow(t *testing.T) {
	valid := rowstore.Ref{Table: "jobs", Partition: "p", Key: "k"}
	long := strings.Repeat("k", rowstore.MaxNameBytes+1)
	for _, c := range []struct {
		field string
		write rowstore.Write
	}{
		{"", rowstore.Write{Ref: valid, Value: []byte("{}")}},
		{"", rowstore.Write{Ref: rowstore.Ref{Table: "jobs", Key: "k"}, Value: []byte("{}")}},
		{"", rowstore.Write{Ref: valid, Delete: true}},
		{"value", rowstore.Write{Ref: valid}},
		{"value", rowstore.Write{Ref: valid, Value: make([]byte, 101)}},
		{"table", rowstore.Write{Ref: rowstore.Ref{Key: "k"}, Delete: true}},
		{"partition", rowstore.Write{Ref: rowstore.Ref{Table: "jobs", Partition: long, Key: "k"}, Delete: true}},
		{"key", rowstore.Write{Ref: rowstore.Ref{Table: "jobs"}, Delete: true}},
		{"key", rowstore.Write{Ref: rowstore.Ref{Table: "jobs", Key: long}, Delete: true}},
	} {
		transaction := rowstore.Transaction{Checks: []rowstore.Check{{Ref: valid}}, Writes: []rowstore.Write{c.write}}
		err := transaction.Check(100)
		if c.field == "" {
			must.NoError(t, err)
			continue
		}
		var refused *rowstore.RowError
		must.True(t, errors.As(err, &refused), must.Sprint(c.field))
		must.Eq(t, c.field, refused.Field)
		must.StrContains(t, err.Error(), "accepted: ")
	}
}
