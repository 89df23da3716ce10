#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review. Needs only the JDK.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -d target/review review/*.java
