#!/usr/bin/env bash
# Runs the case late-refusal: exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# TROUBLE=0 leaves the disruption out. It needs the build of the deploy file and review/build-2.sh.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
if [ ! -x target/egretbend ] || [ ! -x target/review-2/standin2 ]; then
  echo "target/egretbend or target/review-2/standin2 is missing: run the build of the deploy file and review/build-2.sh"
  exit 2
fi
timeout -k 5 115 target/review-2/standin2 late-refusal "$here/record.txt"
status=$?
case $status in
  0 | 1) exit $status ;;
  *) exit 2 ;;
esac
