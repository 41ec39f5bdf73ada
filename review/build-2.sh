#!/bin/sh
# Builds what the scripts of the second review start, into bin/: the project's programs and the stand-ins.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/...
go build -o bin/ ./review/second
