#!/usr/bin/env bash
# Builds the stand-ins of the script cases. They use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOWORK=off CGO_ENABLED=0 go build -o ../../target/reviewstandin .
