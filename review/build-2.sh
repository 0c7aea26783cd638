#!/usr/bin/env bash
# Builds the programs of the second review, the stand-ins among them, into review/programs-2/bin/.
set -eu
cd "$(dirname "$0")/programs-2"
GOWORK=$PWD/go.work go build -o bin/ ./cmd/...
