#!/bin/sh
# Builds the stand-ins of cases 4 to 8, with the standard library alone. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/standin-2"
GOWORK=off CGO_ENABLED=0 go build -o ../../target/review-standin-2 .
