"""The platform's VM list, read over HTTP as a JSON array."""

import typing

import msgspec
import treq.client

from pistachioshed.adapters import httpget
from pistachioshed.core import addresses, controlevents, events
from pistachioshed.ports import vmlist

DEADLINE_S: typing.Final = 2.0
MAX_RESPONSE_BYTES: typing.Final = 4 * 1024 * 1024


class ListedVm(msgspec.Struct):
    """One VM of the response; `control` is the bus address of its control process."""

    name: str
    zone: str
    address: str
    control: str
    capacity: float = 1.0
    leaving: bool = False


class HttpVmList:
    """Read the VM list from a URL."""

    def __init__(
        self, url: str, http: treq.client.HTTPClient, clock: typing.Any
    ) -> None:
        self.url = url
        self.http = http
        self.clock = clock

    async def read(self) -> tuple[controlevents.Member, ...]:
        """Return the listed VMs, or raise `VmListError`."""
        try:
            body = await httpget.read_url(
                self.http, self.clock, self.url, DEADLINE_S, MAX_RESPONSE_BYTES
            )
        except httpget.HttpFailed as error:
            raise vmlist.VmListError("read", self.url, error.cause) from error
        try:
            return decode_members(body)
        except ValueError as error:
            raise vmlist.VmListError("decode", self.url, str(error)) from error


def decode_members(body: bytes) -> tuple[controlevents.Member, ...]:
    """Return the VMs of a response body.

    Raises
    ------
    ValueError
        If the body is not a list of VMs, or if a VM has an empty name or zone, or an
        invalid address or capacity.
    """
    listed = msgspec.json.decode(body, type=list[ListedVm])
    for vm in listed:
        addresses.parse_address(vm.address)
        addresses.parse_address(vm.control)
        if not 0 < vm.capacity < float("inf") or not vm.name or not vm.zone:
            raise ValueError(
                f"VM {vm.name!r} needs a name, a zone and a finite capacity above 0"
            )
    return tuple(
        controlevents.Member(
            events.Vm(vm.name, vm.zone, vm.address, vm.capacity, vm.leaving),
            vm.control,
        )
        for vm in listed
    )
