"""Define the size to design for, and the sizes per node derived from it."""

import typing

NODES: typing.Final = 3_200
HOSTS: typing.Final = 38_000
SERVICES: typing.Final = 4_100
FLOWS: typing.Final = 34_000_000
NEW_FLOWS_PER_S: typing.Final = 200_000
REGIONS: typing.Final = 7
ZONES: typing.Final = 16
EDITS_PER_DAY: typing.Final = 14_000
EDIT_LIMIT_S: typing.Final = 4.0

CORE_SHARE_BUDGET: typing.Final = 0.015
MEMORY_BUDGET_BYTES: typing.Final = 256 * 1024 * 1024
CONTROL_BUDGET_BYTES_PER_S: typing.Final = 9_000.0

# A group is the balancers that share addresses. The choice of a flow's owner sums over
# all peers, which limits the size of a group; 64 groups divide 3,200 nodes and 4,100
# addresses evenly.
NODES_PER_GROUP: typing.Final = 50
GROUPS: typing.Final = NODES // NODES_PER_GROUP
NODES_PER_ZONE: typing.Final = NODES // ZONES
NODES_PER_REGION: typing.Final = -(-NODES // REGIONS)
# A group is in one region and is spread over the region's two or three zones.
GROUP_NODES_PER_ZONE: typing.Final = round(NODES_PER_GROUP * REGIONS / ZONES)
ROWS_PER_SERVICE: typing.Final = round(HOSTS / SERVICES)
SERVICES_PER_GROUP: typing.Final = -(-SERVICES // GROUPS)
ROWS_PER_GROUP: typing.Final = -(-HOSTS // GROUPS)
FLOWS_PER_NODE: typing.Final = FLOWS // NODES
NEW_FLOWS_PER_NODE_S: typing.Final = NEW_FLOWS_PER_S / NODES
EDITS_PER_S: typing.Final = EDITS_PER_DAY / 86_400
# Assumes, for sizing, that a tenth of the flows are overrides.
OVERRIDES_PER_NODE: typing.Final = FLOWS_PER_NODE // 10
