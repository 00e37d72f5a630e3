"""Types of the identifiers that several modules use."""

from typing import NewType

VmId = NewType('VmId', str)
ZoneName = NewType('ZoneName', str)
RegionName = NewType('RegionName', str)
EndpointId = NewType('EndpointId', str)
AccountId = NewType('AccountId', str)
RouteName = NewType('RouteName', str)
RequestId = NewType('RequestId', str)
# One run of an endpoint, from its start to its end.
EndpointRun = NewType('EndpointRun', str)
GrantId = NewType('GrantId', str)
# Random number that a process draws at its start; distinguishes the processes
# that have run on the same VM.
Incarnation = NewType('Incarnation', int)
# Name of a plain service or of a pool of engines, as routes refer to it.
ServiceName = NewType('ServiceName', str)
# Urgency of a request within its pool, from 0, the most urgent, to 9.
PriorityClass = NewType('PriorityClass', int)
# Credential with which a caller authenticates as a client account.
ApiKey = NewType('ApiKey', str)
# Id of a part of a prompt that other prompts may share.
PromptPartId = NewType('PromptPartId', str)
