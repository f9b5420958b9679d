#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts; they use the standard library only.
set -eu
cd "$(dirname "$0")/standin"
GOFLAGS="${GOFLAGS:-} -buildvcs=false" GOWORK=off go build -o ../bin/standin .
