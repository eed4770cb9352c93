#!/bin/sh
# Builds the stand-in of the third review's cases into target/.
set -eu
cd "$(dirname "$0")/.."
go build -o target/ ./review/twin
mv target/twin target/review-twin
