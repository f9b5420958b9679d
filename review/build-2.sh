#!/bin/sh
# Builds the stand-ins of the cases 6 to 10; run it in the project's root.
set -e
cd "$(dirname "$0")/rig"
go build -o ../../target/review-rig .
