package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesFile []byte

// names are the names of the users' platform, which stand in a file of their own.
var names = func() map[string]string {
	m := map[string]string{}
	if err := json.Unmarshal(namesFile, &m); err != nil {
		panic(err)
	}
	return m
}()
