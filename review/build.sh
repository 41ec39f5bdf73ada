#!/bin/sh
# Builds the stand-ins that the cases start, into bin/, which git ignores. The deploy file's build comes first.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin/review
go build -o bin/review/ ./review/foreign ./review/window ./review/stop
