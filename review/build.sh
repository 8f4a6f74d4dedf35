#!/bin/sh
# Builds the stand-ins of all cases, without the network: they use the standard
# library only.
set -eu
cd "$(dirname "$0")"
GOWORK=off go build -o bin/standin ./standin
