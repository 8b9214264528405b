#!/usr/bin/env bash
# Runs the case described in claim.txt and writes record.txt beside it: what was sent, answered and
# run. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
set -uo pipefail
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.."
if [ ! -x target/review-standin ] || [ ! -x target/egretbend ]; then
  echo "could not run: build the product and the stand-ins first" | tee "$folder/record.txt"
  exit 2
fi
exec target/review-standin streams "$folder/record.txt"
