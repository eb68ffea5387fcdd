#!/bin/sh
# Builds the stand-ins of the scripts.
set -eu
cd "$(dirname "$0")/standin"
mkdir -p ../../target
go build -o ../../target/review-standin .
