"""Install Twisted's asyncio reactor."""

import asyncio
import sys
import typing

from twisted.internet import asyncioreactor


def install_reactor() -> tuple[asyncio.AbstractEventLoop, typing.Any]:
    """Install the asyncio reactor on a new event loop and return both."""
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    # Importing klein installs the default reactor, which only `Klein.run` needs; that
    # method is not used here.
    sys.modules.pop("twisted.internet.reactor", None)
    asyncioreactor.install(loop)
    from twisted.internet import reactor

    return loop, reactor
