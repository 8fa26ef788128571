#!/usr/bin/env bash
# Runs the case once: exit 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 the
# disruption is left out.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
case="target/review-2/case-$(basename "$here")"
[ -x "$case" ] && [ -x target/dandeliondock-proxy ] || exit 2
timeout --kill-after=5 115 "$case" "$here/record.txt"
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
