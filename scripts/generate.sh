#!/usr/bin/env bash
# Regenerates the committed protobuf code; needs the package protobuf-compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
protoc -I proto --cpp_out=proto/generated proto/sheet.proto proto/fleet.proto
