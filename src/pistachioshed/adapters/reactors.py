"""Install Twisted's asyncio reactor."""

import asyncio
import sys
import typing

from twisted.internet import asyncioreactor


def install_reactor() -> tuple[asyncio.AbstractEventLoop, typing.Any]:
    """Install the asyncio reactor on a new event loop and return both."""
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    # An import of klein installs the default reactor, for its unused `Klein.run`.
    sys.modules.pop("twisted.internet.reactor", None)
    asyncioreactor.install(loop)
    from twisted.internet import reactor

    return loop, reactor
