"""Run a forwarder on the platform."""

import sys

from pistachioshed.apps import forwarderstart

sys.exit(forwarderstart.main())
