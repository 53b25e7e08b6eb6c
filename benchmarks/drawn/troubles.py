"""Kinds of events (faults and planned work) of the users' bench, with their parameters.

Names and fields are those of the bench (`fleetbench kinds SITE`). Durations exceed
those of the standard days, since the bench sets no upper bound for them.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EventKind:
    """A kind of event and the ranges from which its fields are drawn.

    Attributes:
        kind: Name of the kind.
        variants: Values of `how`, one of which is drawn.
        duration_s: Bounds of the duration (`for_s`), None if the kind has none.
        share: Bounds of the share of affected items, None if the kind has none.
        count: Largest number of affected items, 0 if the kind has no `count`.
        strength: Bounds of `x`, None if the kind has none.
        gap_s: Bounds of the pause between steps, None if the kind has none.
        planned: Whether it is planned work rather than a fault.
        contract: Contract that a site must have for it, "" if none is needed.
        fields: Further fields with fixed values.
    """

    kind: str
    variants: tuple[str, ...] = ("",)
    duration_s: tuple[float, float] | None = None
    share: tuple[float, float] | None = None
    count: int = 0
    strength: tuple[float, float] | None = None
    gap_s: tuple[float, float] | None = None
    planned: bool = False
    fields: tuple[tuple[str, str], ...] = ()
    contract: str = ""


_ON_CORE = (("on", "core"),)

HEALTH_CONTRACT = "health"
"""Contract of sites whose minions are polled for their health."""

EVENT_KINDS = (
    EventKind("burst", duration_s=(2, 8), strength=(1.5, 4)),
    EventKind("give_up", ("", "once", "prompt"), (3, 8), (0.1, 0.6)),
    EventKind("shift", duration_s=(3, 10), share=(0.2, 0.8)),
    EventKind("hot_key", duration_s=(3, 10), share=(0.2, 0.8)),
    EventKind(
        "srv_crash",
        ("", "dark", "gone", "rack", "rack dark", "domain", "joined", "all"),
        (2, 12),
        (0.05, 0.4),
    ),
    EventKind("srv_slow", duration_s=(3, 12), share=(0.05, 0.4), strength=(2, 8)),
    EventKind(
        "srv_grey",
        ("errors", "shed", "busy", "hang", "reset", "mute", "slow"),
        (3, 12),
        (0.05, 0.3),
        strength=(0.3, 1.0),
    ),
    EventKind(
        "srv_lying_health",
        ("errors", "hang", "reset", "bad"),
        (3, 12),
        (0.03, 0.3),
        contract=HEALTH_CONTRACT,
    ),
    EventKind(
        "srv_flap",
        duration_s=(3, 12),
        share=(0.05, 0.3),
        gap_s=(0.4, 3),
        contract=HEALTH_CONTRACT,
    ),
    EventKind("replace_with_reuse", ("", "drain", "dark"), share=(0.05, 0.3)),
    EventKind("scale_in", ("", "spot", "reclaim"), share=(0.03, 0.2), planned=True),
    EventKind("scale_out", share=(0.03, 0.2), planned=True),
    EventKind("release", duration_s=(5, 20), planned=True),
    EventKind(
        "node_kill",
        ("", "power", "leader", "leader race drain", "meet drain", "giver", "renewed"),
        (1, 5),
        count=2,
        fields=_ON_CORE,
    ),
    EventKind(
        "node_freeze", ("", "leader", "renewed"), (1, 12), count=2, fields=_ON_CORE
    ),
    EventKind("node_slow", ("", "leader"), (3, 12), count=2, strength=(3, 8)),
    EventKind(
        "roll_term",
        ("", "busy", "leader", "starter"),
        share=(0.2, 1.0),
        gap_s=(0.5, 3),
        planned=True,
    ),
    EventKind(
        "herd_kill",
        ("", "power", "off", "taken", "taken all"),
        (1, 6),
        (0.4, 1.0),
        fields=_ON_CORE,
    ),
    EventKind("add_nodes", share=(0.3, 1.0), planned=True),
    EventKind(
        "replace_core",
        ("", "seed", "leader", "oldest", "planned"),
        strength=(0.5, 4),
    ),
    EventKind("after_ack_kill", ("", "kill", "timed", "taken", "taken gone"), (1, 4)),
    EventKind("zone_cut", ("", "drop", "reset", "refuse", "drop meet"), (3, 18)),
    EventKind(
        "core_cut",
        (
            "leader",
            "leader all",
            "leader one_way",
            "leader race",
            "all",
            "split",
            "near",
            "both",
            "lure",
            "relieve",
        ),
        (3, 16),
        count=1,
    ),
    EventKind(
        "node_cut",
        ("", "all", "servers", "servers one_way", "servers reborn"),
        (3, 16),
        (0.1, 0.5),
    ),
    EventKind("platform_down", ("silent", "busy", "reset", "busy lapse"), (2, 9)),
    EventKind(
        "platform_down",
        ("nodes", "nodes leader busy", "nodes many revoke meet", "nodes reset"),
        (3, 14),
        (0.2, 0.7),
    ),
    EventKind("platform_slow", duration_s=(3, 9), strength=(20, 100)),
    EventKind("platform_lost", ("", "late"), (3, 9), strength=(0.1, 0.5)),
    EventKind(
        "platform_compact",
        ("", "keyed", "rebalance", "rewind", "drain"),
        (1, 3),
        strength=(2, 6),
    ),
    EventKind("config_change", ("timeout", "idle", "route"), planned=True),
    EventKind("big_config", count=1_000, planned=True),
    EventKind("config_storm", duration_s=(2, 6), gap_s=(0.2, 0.8), planned=True),
    EventKind("wave", ("", "rack"), (15, 30), (0.2, 0.6), planned=True),
    EventKind("poison", duration_s=(2, 6), share=(0.02, 0.2)),
    EventKind(
        "applied_late",
        ("orders", "cloud", "grants", "all"),
        (3, 15),
        strength=(0.03, 0.5),
    ),
    EventKind(
        "srv_cut",
        ("", "fronts", "some", "some lossy", "one_way", "reset", "reborn"),
        (3, 14),
        (0.1, 0.5),
    ),
    EventKind(
        "clock_step", ("back", "ahead"), (3, 12), (0.2, 1.0), strength=(500, 6_000)
    ),
    EventKind("hup", share=(0.3, 1.0), gap_s=(0.5, 4), planned=True),
    EventKind("reset_conns", ("", "silent"), (1, 4), (0.3, 1.0), strength=(0.3, 1.0)),
    EventKind("cloud_down", ("silent", "busy", "reset"), (3, 14)),
    EventKind("cloud_slow", duration_s=(3, 14), strength=(20, 100)),
)

CLOSING_KINDS = ("power_off_all", "kill_all", "wipe_after_ack")
