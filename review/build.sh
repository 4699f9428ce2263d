#!/usr/bin/env bash
# Builds the stand-ins of the scripts. It needs Go's standard library only.
set -euo pipefail
cd "$(dirname "$0")/stand"
GOFLAGS=-mod=mod GOPROXY=off go build -trimpath -o ../bin/stand .
