#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
mkdir -p ../../target/review-2
GOWORK=off go build -o ../../target/review-2/standin2 .
