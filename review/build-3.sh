#!/usr/bin/env bash
# Builds the stand-ins and cases of the third review, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
javac --release 17 -d target/review-3 review/kit-3/kit3/*.java
