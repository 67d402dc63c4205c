#!/bin/sh
# Builds the stand-ins of the review's cases, into bin/review. The build of the deploy file has to come first.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin/review
go build -buildvcs=false -o bin/review/ ./review/...
