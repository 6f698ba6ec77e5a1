#!/bin/sh
# Builds the stand-ins of the review's scripts. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/standin"
exec go build -o ../../target/review-standin .
