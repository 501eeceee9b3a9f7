#!/bin/sh
# Builds the stand-ins of the review's scripts. Run it in the root of the repository after the
# build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/standins ./review/_standins
