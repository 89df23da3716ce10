#!/usr/bin/env bash
# Case 5; TROUBLE=0 plays it without the second order. Exits with 1 if the rule was broken.
cd "$(dirname "$0")/../.." || exit 2
exec timeout 120 java -Xmx256m -cp target/review StaleVersion "review/5/record.txt"
