#!/usr/bin/env bash
# Case 3; TROUBLE=0 plays it without the late append and the kill. Exits with 1 if the rule was broken.
cd "$(dirname "$0")/../.." || exit 2
exec timeout 120 java -Xmx256m -cp target/review LateReturn "review/3/record.txt"
