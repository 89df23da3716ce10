#!/usr/bin/env bash
# Case 1; TROUBLE=0 plays it without taking the keys away. Exits with 1 if the rule was broken.
cd "$(dirname "$0")/../.." || exit 2
exec timeout 120 java -Xmx256m -cp target/review LastKey "review/1/record.txt"
