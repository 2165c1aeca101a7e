#!/usr/bin/env bash
# Builds the stand-ins and the driver of the scripts of this review into target/review/. The daemons are those
# that the build of deploy/system.toml leaves in target/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -trimpath -tags review -o target/review/harness ./review/harness
