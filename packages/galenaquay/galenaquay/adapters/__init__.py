"""Adapters that implement the ports: HTTP, gRPC, platform and telemetry."""
