#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 plays the case without its disruption; any other value, or none, plays it with it.
cd "$(dirname "$0")/../.."
TROUBLE="${TROUBLE:-1}"
export TROUBLE
exec timeout -k 1 118 java -Xmx256m -Xss256k -cp target/review-3 kit3.FrozenNeighbour review/14
