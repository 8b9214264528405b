#!/usr/bin/env bash
# Runs the case described in claim.txt. See there for the exit codes.
set -uo pipefail
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.."
exec target/review-standin streams "$folder"
