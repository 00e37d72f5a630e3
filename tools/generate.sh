#!/usr/bin/env bash
# Generates the committed protobuf code; the build does not need this.
# Needs grpcio-tools and mypy-protobuf beside the locked dependencies.
set -eu
cd "$(dirname "$0")/../packages/galenaquay-api"
python -m grpc_tools.protoc -I . --python_out=. --mypy_out=. \
    --grpclib_python_out=. galenaquay_api/peer.proto galenaquay_api/fleet.proto \
    galenaquay_api/mirror.proto
