#!/usr/bin/env bash
# Builds what the scripts need beside the build of the deploy file: the project's own stand-in of
# the platform.  Needs no network once the dependencies are there.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --bin crossweird --bin crossweir-standin
