#!/bin/sh
# Builds the stand-in of the review's cases.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/standin
