"""Types of the identifiers that travel through the system."""

from typing import NewType

VmId = NewType('VmId', str)
ZoneName = NewType('ZoneName', str)
RegionName = NewType('RegionName', str)
EndpointId = NewType('EndpointId', str)
AccountId = NewType('AccountId', str)
RouteName = NewType('RouteName', str)
RequestId = NewType('RequestId', str)
GrantId = NewType('GrantId', str)
# Drawn anew at every start of a process.
Incarnation = NewType('Incarnation', int)
# A plain service or a pool of engines that routes send requests to.
ServiceName = NewType('ServiceName', str)
# What a caller shows to prove which client account it belongs to.
ApiKey = NewType('ApiKey', str)
