#!/usr/bin/env bash
# Runs the case after the build of the deploy file and review/build.sh. Exit code: 1 if the rule was
# broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd) || exit 2
number=$(basename "$here")
cd "$here/../.." || exit 2
program=target/review/case-$number
[ -x "$program" ] && [ -x target/wagtailwind-forwarder ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
"$program" target/wagtailwind-forwarder platform/forwarder.yaml "$folder" "review/$number/record.txt"
case $? in
  0) exit 0 ;;
  1) exit 1 ;;
  *) exit 2 ;;
esac
