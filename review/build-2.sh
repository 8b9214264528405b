#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts (review/4 to review/8) into target/review-2.
# They need the standard library only. The build of the deploy file builds the product.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/standin2 ./review/_standin2/
