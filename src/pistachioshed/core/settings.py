"""Settings of the decision core, passed as a whole to its components."""

import typing


class Settings(typing.NamedTuple):
    """Settings of one balancer's decision core; durations are in seconds."""

    name: str
    zone: str
    address: str = "127.0.0.1:7000"
    capacity: float = 1.0
    key: bytes = b""
    seeds: tuple[str, ...] = ()
    ping_interval_s: float = 0.5
    indirect_probes: int = 3
    suspicion_s: float = 1.5
    rejoin_interval_s: float = 2.0
    join_timeout_s: float = 5.0
    leave_timeout_s: float = 30.0
    flow_idle_s: float = 60.0
    refusal_memory_s: float = 30.0
    settle_s: float = 3.0
    slow_start_s: float = 10.0
    silence_s: float = 2.0
    hysteresis: float = 2.0
    max_ejected_weight: float = 0.5
    generations_kept: int = 8
    ports_per_upstream: int = 512
    replication_bytes_per_s: int = 1_200
    openings_carry_requests: bool = False
