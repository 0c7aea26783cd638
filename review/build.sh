#!/bin/sh
# Builds the stand-ins of the review's scripts. They use the standard library only.
set -e
cd "$(dirname "$0")"
GOWORK=off go build -o bin/standin ./cmd/standin
