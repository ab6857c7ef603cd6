#!/usr/bin/env bash
cd "$(dirname "$0")/../.."
exec java -Xmx256m -cp review/target Case5 review/5
