#!/bin/sh
# Builds the stand-ins of the cases 4 to 8. It is run after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/ ./review/rig
