#!/usr/bin/env bash
# Runs the case once. Exit: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/standin ] && [ -x target/damaskpitch ] || { echo "build the project and review/build.sh first"; exit 2; }
# TROUBLE=0 leaves the disruption out.
export TROUBLE="${TROUBLE:-1}"
exec review/bin/standin ban review/5/record.txt
