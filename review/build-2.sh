#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file. They use packages of the project's own lab.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
go build -tags review -o bin/review-standin2 ./review/standin2
