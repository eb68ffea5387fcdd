// Package api holds the protocol between garnethoist's own processes. The
// generated code is committed; "make generate" makes it anew and needs protoc.
package api

//go:generate sh -c "go build -o ../bin/ google.golang.org/protobuf/cmd/protoc-gen-go google.golang.org/grpc/cmd/protoc-gen-go-grpc"
//go:generate protoc --plugin=../bin/protoc-gen-go --plugin=../bin/protoc-gen-go-grpc --go_out=. --go_opt=paths=source_relative --go-grpc_out=. --go-grpc_opt=paths=source_relative garnet.proto
