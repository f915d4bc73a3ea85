#!/usr/bin/env bash
# Generates peerpb from peer.proto. It needs protoc.
set -euo pipefail
cd "$(dirname "$0")"
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go build -o "$bin" google.golang.org/protobuf/cmd/protoc-gen-go google.golang.org/grpc/cmd/protoc-gen-go-grpc
PATH="$bin:$PATH" protoc --go_out=peerpb --go_opt=paths=source_relative \
  --go-grpc_out=peerpb --go-grpc_opt=paths=source_relative peer.proto
