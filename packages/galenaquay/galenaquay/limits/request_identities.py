"""Identities by which a request is recognized when it is sent again.

A request that crashes engines by content that only this request has shares no
part with other prompts. Two values identify it: the id of its last part, and a
digest of its body. A caller that repeats the request, and other callers that
send the same request, use at least one of them again.

Identities are recorded like parts of prompts. Their ids contain a colon, which
no id of a part contains.
"""

from typing import Final

import xxhash

from .. import ids

_LAST_PART_PREFIX: Final = 'last:'
_BODY_PREFIX: Final = 'body:'
# Prefix of the ids under which ends are recorded for identities that no engine
# has answered yet: such an identity may belong to one request alone.
_OWN_PREFIX: Final = 'own:'


def identify(
    last_part: ids.PromptPartId | None,
    body: bytes,
    route: ids.RouteName,
    account: ids.AccountId | None,
) -> tuple[ids.PromptPartId, ...]:
    """Returns the identities of a request.

    Args:
        last_part: Id of the last part of the prompt; None if there is none.
        body: The body of the request.
        route: The route of the request.
        account: The caller's account; None if the request needs no key.
    """
    digest = xxhash.xxh3_64(f'{route}\n{account or ""}\n'.encode())
    digest.update(body)
    identities = [f'{_BODY_PREFIX}{digest.hexdigest()}:{len(body)}']
    if last_part:
        identities.append(f'{_LAST_PART_PREFIX}{last_part}')
    return tuple(map(ids.PromptPartId, identities))


def own(identity: ids.PromptPartId) -> ids.PromptPartId:
    """Returns the id of an identity that no engine has answered yet."""
    return ids.PromptPartId(_OWN_PREFIX + identity)


def is_own(part_id: ids.PromptPartId) -> bool:
    """Returns whether an id was returned by `own`."""
    return part_id.startswith(_OWN_PREFIX)


def is_body(identity: ids.PromptPartId) -> bool:
    """Returns whether an identity was made from the body of a request."""
    return identity.startswith(_BODY_PREFIX)


def is_identity(part_id: ids.PromptPartId) -> bool:
    """Returns whether an id is an identity, not a part of prompts."""
    return part_id.startswith((_OWN_PREFIX, _LAST_PART_PREFIX, _BODY_PREFIX))


def without_own(part_id: ids.PromptPartId) -> ids.PromptPartId:
    """Returns the identity that `own` was given, or any other id itself."""
    return ids.PromptPartId(part_id.removeprefix(_OWN_PREFIX))
