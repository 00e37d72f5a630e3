#!/usr/bin/env bash
# Generates the protobuf code, which is committed; the build does not run this.
# Needs grpcio-tools and mypy-protobuf in addition to requirements.lock.
set -eu
cd "$(dirname "$0")/../packages/galenaquay-api"
python -m grpc_tools.protoc -I . --python_out=. --mypy_out=. \
    --grpclib_python_out=. galenaquay_api/peer.proto galenaquay_api/fleet.proto \
    galenaquay_api/mirror.proto galenaquay_api/relay.proto
