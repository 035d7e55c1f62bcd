package main

import (
	_ "embed"
	"strings"
)

// The names and documents of the platform stand in text files: in Go code they may stand in
// package platform only, which .ci/run checks.
var (
	//go:embed words/names.txt
	namesText string
	//go:embed words/settings.txt
	settingsText string
	//go:embed words/config.json
	configText string
	//go:embed words/server.json
	serverText string
)

// names maps the short names of this package to those of the platform.
var names = func() map[string]string {
	m := make(map[string]string)
	for line := range strings.Lines(namesText) {
		if short, name, ok := strings.Cut(strings.TrimSpace(line), " "); ok {
			m[short] = name
		}
	}
	return m
}()

// name returns the platform's name for a short one. An unknown one is a mistake in this
// program.
func name(short string) string {
	n, ok := names[short]
	if !ok {
		panic("unknown name " + short)
	}
	return n
}
