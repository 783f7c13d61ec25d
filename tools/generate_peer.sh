#!/usr/bin/env bash
# Writes src/peer/gen anew from src/peer/peer.thrift. Needs the Debian package
# thrift-compiler; the build does not.
set -euo pipefail
cd "$(dirname "$0")/../src/peer"
thrift --gen cpp:no_skeleton,moveable_types -out gen peer.thrift
mv gen/peer_types.cpp gen/peer_types.cc
