#!/bin/bash
# Builds the stand-in of the cases 6 to 10.
set -e
cd "$(dirname "$0")/standin-2"
mkdir -p ../../target/review-2
GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/review-2/standin .
