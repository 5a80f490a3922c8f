#!/usr/bin/env bash
# Builds the program that plays the cases: the stand-ins of the platform, the servers and the clients.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/limpetwall-review .
