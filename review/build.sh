#!/bin/sh
# Builds the stand-ins of all cases into review/bin. Needs the Go tool alone.
set -e
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../bin/standin .
