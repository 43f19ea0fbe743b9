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

// fillCommand adds the instances and members of a fleet to the platform's instance list, or, if
// the URL of an operators' listener is given, applies the configuration of the fleet.
type fillCommand struct {
	fleetSize
	Members    int    `long:"members" default:"1" description:"number of members to add to the platform's instance list"`
	Platform   string `long:"platform" required:"true" description:"base URL of the platform stand-in"`
	Operator   string `long:"operator" description:"base URL of an operators' listener; if given, the configuration is applied there and nothing is added to the list"`
	Credential string `long:"credential" env:"CITRONKNOT_OPERATOR_CREDENTIAL" description:"bearer credential of operators"`
}

// Execute implements flags.Commander.
func (f *fillCommand) Execute([]string) error {
	if f.Operator != "" {
		return f.applyConfig()
	}
	for i := range f.Workers {
		if err := f.addInstance(string(f.instance(i).ID), i); err != nil {
			return err
		}
	}
	for i := range f.Members {
		if err := f.addInstance(string(memberID(i)), i); err != nil {
			return err
		}
	}
	return nil
}

// addInstance adds a live instance to the platform's instance list.
func (f *fillCommand) addInstance(id string, i int) error {
	body, err := json.Marshal(rowstore.WireInstance{ID: id, Zone: string(zoneID(i)), State: string(rowstore.StateLive)})
	if err != nil {
		return eris.Wrap(err, "capacity: encode instance")
	}
	resp, err := http.Post(f.Platform+"/instances", "application/json", bytes.NewReader(body)) //nolint:gosec // the stand-in of this run
	if err != nil {
		return eris.Wrap(err, "capacity: add instance to platform")
	}
	return resp.Body.Close()
}

// applyConfig applies the release note of the fleet and retries each second, for 40 s in all.
func (f *fillCommand) applyConfig() error {
	text, err := note.Encode(f.releaseNote())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 40*time.Second)
	defer cancel()
	client := &operator.Client{URL: f.Operator, Credential: f.Credential}
	// A new member accepts release notes only after all members have acknowledged it.
	for {
		if _, err = client.ApplyResolved(ctx, text); err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.Wrap(err, fmt.Sprintf("capacity: configuration of %d bytes not applied", len(text)))
		case <-time.After(time.Second):
		}
	}
}
