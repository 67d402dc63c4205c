#!/bin/sh
# Builds the stand-ins of review/6 to review/10 into bin/review-2/, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin/review-2
CGO_ENABLED=1 go build -buildvcs=false -ldflags=-linkmode=external -o bin/review-2/ ./cmd/rainhaven
go build -buildvcs=false -o bin/review-2/ ./review/standin2/...
