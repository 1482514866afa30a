"""Operators' requests to evacuate zones, as they are received and combined."""

import typing
from collections import abc


class ZoneRequest(typing.NamedTuple):
    """The request to evacuate a zone at a revision; not `present` if it was removed."""

    zone: str
    revision: int
    present: bool = True


class Received(typing.NamedTuple):
    """Changes of the requests in order, or all present requests if `complete`."""

    requests: tuple[ZoneRequest, ...] = ()
    complete: bool = False


UNCHANGED: typing.Final = Received()


def combine_requests(
    known: abc.Mapping[str, int], received: Received, revision: int
) -> dict[str, int]:
    """Return the zones to evacuate at a revision, with the revision of each request.

    The pages of a snapshot are read one after the other. So a known request may be
    newer than the revision of a complete list, which then can not end it.
    """
    zones = dict(known)
    if received.complete:
        zones = {
            zone: requested for zone, requested in known.items() if requested > revision
        }
    for request in received.requests:
        if request.revision < zones.get(request.zone, 0):
            continue
        if request.present:
            zones[request.zone] = request.revision
        else:
            zones.pop(request.zone, None)
    return zones
