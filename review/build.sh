#!/bin/bash
# Builds the stand-ins that the scripts start. The nodes are built with the command of the
# deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o "${RIG:-target/review/rig}" review/rig/rig.rs
