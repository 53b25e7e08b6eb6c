"""The kinds of trouble that the users' bench lists, with the ways each may come.

Names and fields are the bench's own (`fleetbench kinds SITE`). Durations reach beyond
those of the standard days, since their length is nowhere bounded.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Trouble:
    """One kind.

    Attributes:
        kind: Its name.
        hows: Variants; one is drawn.
        lasts_s: Bounds of its duration, none if it has no duration.
        share: Bounds of the part of things that it strikes, if it takes one.
        count: Most things that it strikes, if it counts them.
        strength: Bounds of `x`, if it has one.
        gap_s: Bounds of the pause between its steps, if it has one.
        planned: Whether it is planned work.
        contract: What a site must have in force for it, if not all sites have it.
        fields: Further fields.
    """

    kind: str
    hows: tuple[str, ...] = ("",)
    lasts_s: tuple[float, float] | None = None
    share: tuple[float, float] | None = None
    count: int = 0
    strength: tuple[float, float] | None = None
    gap_s: tuple[float, float] | None = None
    planned: bool = False
    fields: tuple[tuple[str, str], ...] = ()
    contract: str = ""


_ON_CORE = (("on", "core"),)

HEALTH = "health"
"""The contract of sites whose minions are asked for their health."""

TROUBLES = (
    Trouble("burst", lasts_s=(2, 8), strength=(1.5, 4)),
    Trouble("give_up", ("", "once", "prompt"), (3, 8), (0.1, 0.6)),
    Trouble("shift", lasts_s=(3, 10), share=(0.2, 0.8)),
    Trouble("hot_key", lasts_s=(3, 10), share=(0.2, 0.8)),
    Trouble(
        "srv_crash",
        ("", "dark", "gone", "rack", "rack dark", "domain", "joined", "all"),
        (2, 12),
        (0.05, 0.4),
    ),
    Trouble("srv_slow", lasts_s=(3, 12), share=(0.05, 0.4), strength=(2, 8)),
    Trouble(
        "srv_grey",
        ("errors", "shed", "busy", "hang", "reset", "mute", "slow"),
        (3, 12),
        (0.05, 0.3),
        strength=(0.3, 1.0),
    ),
    Trouble(
        "srv_lying_health",
        ("errors", "hang", "reset", "bad"),
        (3, 12),
        (0.03, 0.3),
        contract=HEALTH,
    ),
    Trouble(
        "srv_flap",
        lasts_s=(3, 12),
        share=(0.05, 0.3),
        gap_s=(0.4, 3),
        contract=HEALTH,
    ),
    Trouble("replace_with_reuse", ("", "drain", "dark"), share=(0.05, 0.3)),
    Trouble("scale_in", ("", "spot", "reclaim"), share=(0.03, 0.2), planned=True),
    Trouble("scale_out", share=(0.03, 0.2), planned=True),
    Trouble("release", lasts_s=(5, 20), planned=True),
    Trouble(
        "node_kill",
        ("", "power", "leader", "leader race drain", "meet drain", "giver", "renewed"),
        (1, 5),
        count=2,
        fields=_ON_CORE,
    ),
    Trouble(
        "node_freeze", ("", "leader", "renewed"), (1, 12), count=2, fields=_ON_CORE
    ),
    Trouble("node_slow", ("", "leader"), (3, 12), count=2, strength=(3, 8)),
    Trouble(
        "roll_term",
        ("", "busy", "leader", "starter"),
        share=(0.2, 1.0),
        gap_s=(0.5, 3),
        planned=True,
    ),
    Trouble(
        "herd_kill",
        ("", "power", "off", "taken", "taken all"),
        (1, 6),
        (0.4, 1.0),
        fields=_ON_CORE,
    ),
    Trouble("add_nodes", share=(0.3, 1.0), planned=True),
    Trouble(
        "replace_core",
        ("", "seed", "leader", "oldest", "planned"),
        strength=(0.5, 4),
    ),
    Trouble("after_ack_kill", ("", "kill", "timed", "taken", "taken gone"), (1, 4)),
    Trouble("zone_cut", ("", "drop", "reset", "refuse", "drop meet"), (3, 18)),
    Trouble(
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
    Trouble(
        "node_cut",
        ("", "all", "servers", "servers one_way", "servers reborn"),
        (3, 16),
        (0.1, 0.5),
    ),
    Trouble("platform_down", ("silent", "busy", "reset", "busy lapse"), (2, 9)),
    Trouble(
        "platform_down",
        ("nodes", "nodes leader busy", "nodes many revoke meet", "nodes reset"),
        (3, 14),
        (0.2, 0.7),
    ),
    Trouble("platform_slow", lasts_s=(3, 9), strength=(20, 100)),
    Trouble("platform_lost", ("", "late"), (3, 9), strength=(0.1, 0.5)),
    Trouble(
        "platform_compact",
        ("", "keyed", "rebalance", "rewind", "drain"),
        (1, 3),
        strength=(2, 6),
    ),
    Trouble("config_change", ("timeout", "idle", "route"), planned=True),
    Trouble("big_config", count=1_000, planned=True),
    Trouble("config_storm", lasts_s=(2, 6), gap_s=(0.2, 0.8), planned=True),
    Trouble("wave", ("", "rack"), (15, 30), (0.2, 0.6), planned=True),
    Trouble("poison", lasts_s=(2, 6), share=(0.02, 0.2)),
    Trouble(
        "applied_late",
        ("orders", "cloud", "grants", "all"),
        (3, 15),
        strength=(0.03, 0.5),
    ),
    Trouble(
        "srv_cut",
        ("", "fronts", "some", "some lossy", "one_way", "reset", "reborn"),
        (3, 14),
        (0.1, 0.5),
    ),
    Trouble(
        "clock_step", ("back", "ahead"), (3, 12), (0.2, 1.0), strength=(500, 6_000)
    ),
    Trouble("hup", share=(0.3, 1.0), gap_s=(0.5, 4), planned=True),
    Trouble("reset_conns", ("", "silent"), (1, 4), (0.3, 1.0), strength=(0.3, 1.0)),
    Trouble("cloud_down", ("silent", "busy", "reset"), (3, 14)),
    Trouble("cloud_slow", lasts_s=(3, 14), strength=(20, 100)),
)

CLOSINGS = ("power_off_all", "kill_all", "wipe_after_ack")
