"""Membership: the VMs, their liveness and the roles assigned to them."""
