#!/usr/bin/env bash
# Builds the stand-ins and the scripts of the review into review/target.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf target
mkdir -p target
javac -nowarn -d target kit/*.java $(find . -name 'Case*.java')
