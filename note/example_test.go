package note_test

import (
	"fmt"

	"citronknot/note"
)

func ExampleDecode() {
	_, err := note.Decode([]byte(`{
  "schema": 1, "id": "add-team", "base": 7,
  "added": {"teams": [{"id": "alpha", "share": "10%", "limit": 24}]}
}`))
	fmt.Println(err)
	// Output:
	// note: line 3, column 48: added.teams[0].share: "\"10%\"" is not accepted; accepted: a whole number from -2^63 to 2^63-1
}

func ExamplePositions_Of() {
	n, positions, err := note.DecodeWithPositions([]byte(`{
  "schema": 1, "id": "add-team", "base": 0,
  "added": {"teams": [{"id": "alpha", "share": 100, "limit": 24}]}
}`))
	fmt.Println(n.Added.Teams[0].ID, positions.Of("added.teams[0].limit"), err)
	// Output:
	// alpha line 3, column 62 <nil>
}
