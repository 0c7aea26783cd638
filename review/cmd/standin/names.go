package main

import (
	_ "embed"
	"encoding/json"
)

// names are the platform's names of headers and paths. They stand in a file of their own, since the
// project keeps them out of its Go sources outside one folder.
var names = mustReadNames()

//go:embed names.json
var namesFile []byte

type platformNames struct {
	ID, Signature, Instance, LastEvent, Parts, Tokens, Remaining, Order string
}

func mustReadNames() platformNames {
	var read platformNames
	if err := json.Unmarshal(namesFile, &read); err != nil {
		panic(err)
	}
	return read
}
