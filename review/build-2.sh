#!/bin/sh
# Builds the stand-ins of the scripts in review/4 to review/6: one program, with the standard library
# only, in a module of its own.
set -e
cd "$(dirname "$0")/stand-2"
mkdir -p ../../target
go build -trimpath -o ../../target/review-stand2 .
