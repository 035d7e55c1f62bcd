// Package wire is the gRPC protocol between the system's own processes. The
// generated files are committed. Run _scripts/generate after a change of
// wire.proto.
package wire
