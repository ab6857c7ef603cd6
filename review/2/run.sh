#!/usr/bin/env bash
# TROUBLE=0 plays the case without its disruption; any other value, or none, plays it with it.
cd "$(dirname "$0")/../.."
TROUBLE="${TROUBLE:-1}"
exec java -Xmx256m -Dtrouble="$TROUBLE" -cp review/target Case2 review/2
