package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"citronknot/note"
	"citronknot/operator"
	"citronknot/rowstore"
)

// fill puts the instances of a size and the members into the platform's list, or applies the
// configuration of the size if an operator's URL is given.
type fill struct {
	size
	Members    int    `long:"members" default:"1" description:"members in the platform's list"`
	Platform   string `long:"platform" required:"true" description:"base URL of the platform stand-in"`
	Operator   string `long:"operator" description:"base URL of an operators' listener; then the configuration is applied"`
	Credential string `long:"credential" env:"CITRONKNOT_OPERATOR_CREDENTIAL" description:"bearer credential of operators"`
}

// Execute implements flags.Commander.
func (f *fill) Execute([]string) error {
	if f.Operator != "" {
		return f.apply()
	}
	for i := range f.Workers {
		if err := f.list(string(f.instance(i).ID), i); err != nil {
			return err
		}
	}
	for i := range f.Members {
		if err := f.list(string(memberID(i)), i); err != nil {
			return err
		}
	}
	return nil
}

func (f *fill) list(id string, i int) error {
	text, err := json.Marshal(rowstore.WireInstance{ID: id, Zone: string(zoneID(i)), State: string(rowstore.StateLive)})
	if err != nil {
		return eris.Wrap(err, "capacity: encode")
	}
	resp, err := http.Post(f.Platform+"/instances", "application/json", bytes.NewReader(text)) //nolint:gosec // the stand-in of this run
	if err != nil {
		return eris.Wrap(err, "capacity: platform")
	}
	return resp.Body.Close()
}

func (f *fill) apply() error {
	text, err := note.Encode(f.note())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 40*time.Second)
	defer cancel()
	client := &operator.Client{URL: f.Operator, Credential: f.Credential}
	// A new member accepts notes once all members have acknowledged it.
	for {
		if _, err = client.ApplyResolved(ctx, text); err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.Wrap(err, fmt.Sprintf("capacity: %d bytes not applied", len(text)))
		case <-time.After(time.Second):
		}
	}
}
