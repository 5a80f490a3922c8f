// Package wire holds the generated protocol between limpetwall's own
// processes. The generated files are committed, so a build needs no generator;
// after a change of wire.proto, regenerate with protoc-gen-go and
// protoc-gen-go-grpc (paths=source_relative).
package wire
