// Package wire is the gRPC protocol between the system's own processes. The
// generated files are committed; _scripts/generate makes them anew.
package wire
