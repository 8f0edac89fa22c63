#!/bin/sh
# Builds the stand-ins of the review into review/bin.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -tags review -o review/bin/standin ./review/standin
