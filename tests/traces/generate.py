"""Writes the generated traces of both users next to this file; run it as a program."""

from collections.abc import Sequence
from pathlib import Path
from random import Random

from verbenawind.document import EnvironmentDocument, parse_document
from verbenawind.traces import write_trace
from verbenawind.traces.types import (
    Ask,
    Call,
    DocumentChange,
    Event,
    Fault,
    FaultKind,
    Header,
    Stated,
    Step,
    Train,
)

HERE = Path(__file__).parent
DAEMONS = 3
SHORT_CUT_S = 120.0
LONG_CUT_S = 3600.0


class User:
    """One user's environment."""

    def __init__(
        self, name: str, regions: tuple[str, str, str], engines: int, service: str, versions: int
    ) -> None:
        self.name = name
        self.regions = regions
        self.engines = engines
        self.service = service
        self.document = document(name, service, versions)

    def header(self, name: str, seed: int) -> Header:
        return Header(
            name=f"{self.name}: {name}",
            user=self.name,
            seed=seed,
            regions=self.regions,
            daemons=DAEMONS,
            engines={"rollout": self.engines},
            services={self.service: 3},
        )


def document(environment: str, service: str, versions: int) -> EnvironmentDocument:
    """Return a user's environment document."""
    return parse_document(f"""
    {{
      "environment": "{environment}",
      "pools": [{{"name": "rollout", "order_timeout_s": 2.0}}],
      "models": [
        {{"name": "tuner", "pool": "rollout", "staleness": {{"max_versions": {versions}}}}}
      ],
      "callers": [
        {{"name": "plant", "kind": "trainer", "models": ["tuner"], "token_sha256": "{"0" * 64}"}},
        {{"name": "desk", "kind": "application", "models": ["tuner"],
          "services": ["{service}"], "token_sha256": "{"1" * 64}"}}
      ],
      "trainers": [{{"name": "folders", "caller": "plant", "model": "tuner"}}],
      "services": [
        {{"name": "{service}", "routes": [{{"path_prefix": "/bookings", "idempotent": false}}]}}
      ]
    }}
    """)


USERS = [
    User("siam-fold", ("bangkok", "chiang-mai", "hat-yai"), 4, "job-cards", 1),
    User("kallioniemi", ("lappi", "uusimaa", "pirkanmaa"), 5, "order-desk", 1),
]


def train(steps: int, train_s: float, size: int = 4) -> Train:
    """Return a closed-loop trainer."""
    return Train(
        trainer="folders", steps=steps, groups=8, size=size, max_tokens=200, train_s=train_s
    )


def asks(count: int, start_s: float, end_s: float, rng: Random) -> list[Event]:
    """Return requests of application callers spread over a time."""
    return [
        Ask(
            at_s=round(rng.uniform(start_s, end_s), 3),
            digest=f"{rng.getrandbits(64):016x}",
            max_tokens=rng.choice([40, 80, 160]),
            prompt_characters=rng.choice([80, 400, 2000]),
            daemon=rng.randrange(DAEMONS),
        )
        for _ in range(count)
    ]


def calls(user: User, count: int, end_s: float, rng: Random) -> list[Event]:
    """Return calls to the plain service, every other one a booking."""
    return [
        Call(
            at_s=round(rng.uniform(0.0, end_s), 3),
            service=user.service,
            digest=f"{rng.getrandbits(64):016x}",
            key=f"booking-{index}" if index % 2 else "",
            daemon=rng.randrange(DAEMONS),
        )
        for index in range(count)
    ]


def cut_off_zone(user: User, duration_s: float, rng: Random) -> tuple[Sequence[Event], Stated]:
    """Return a trainer and callers while the third zone reaches nobody."""
    events = [
        train(3, 30.0),
        Fault(at_s=6.0, kind=FaultKind.CUT_ZONE, target=2, duration_s=duration_s),
        *asks(20, 0.0, duration_s, rng),
        *calls(user, 6, duration_s, rng),
    ]
    return events, Stated(whole_steps={"folders": 3}, answered=20)


def scenarios(user: User, rng: Random) -> dict[str, tuple[Sequence[Event], Stated]]:
    """Return each trace's events and stated outcome."""
    whole = {"folders": 3}
    straggler = Step(
        at_s=0.5, trainer="folders", step=1, groups=(8,) * 8, max_tokens=400, digest="5f01d", seed=5
    )
    booking = {"service": user.service, "digest": "pallet", "key": "pallet"}
    return {
        "quiet-shift": (
            [train(3, 5.0), *asks(12, 0.0, 25.0, rng), *calls(user, 6, 25.0, rng)],
            Stated(whole_steps=whole, answered=18),
        ),
        "burst": (
            [train(3, 5.0), *asks(150, 5.0, 7.0, rng)],
            Stated(whole_steps=whole, answered=150),
        ),
        "version-every-two-minutes": (
            [train(3, 120.0, size=8)],
            Stated(whole_steps=whole),
        ),
        "straggler-step": (
            [straggler, Fault(at_s=1.0, kind=FaultKind.SLOW_ENGINE, target=1, duration_s=60.0)],
            Stated(whole_steps={"folders": 1}),
        ),
        "failing-swap": (
            [
                *(Fault(kind=FaultKind.FAIL_SWAPS, target=index) for index in (0, 0, 1)),
                train(3, 3.0),
                *asks(10, 0.0, 15.0, rng),
            ],
            Stated(whole_steps=whole, answered=10),
        ),
        "zone-cut-off": cut_off_zone(user, SHORT_CUT_S, rng),
        "long/zone-cut-off-for-an-hour": cut_off_zone(user, LONG_CUT_S, rng),
        "crashing-request": (
            [
                train(2, 3.0),
                *asks(10, 0.0, 12.0, rng),
                *(
                    Ask(at_s=at_s, digest="ki11", max_tokens=80, daemon=daemon, crashes=True)
                    for daemon, at_s in enumerate((2.0, 6.0, 9.0))
                ),
            ],
            Stated(whole_steps={"folders": 2}, answered=10),
        ),
        "doubled-booking": (
            [
                Fault(at_s=0.9, kind=FaultKind.LOSE_SERVICE_ANSWER),
                *(Call(at_s=1.0 + 0.002 * n, daemon=n, **booking) for n in range(3)),
                *(Call(at_s=4.0 + n, daemon=n, **booking) for n in range(2)),
                *calls(user, 6, 8.0, rng),
            ],
            Stated(answered=4, most_runs={"pallet": 1}),
        ),
    }


def main() -> None:
    """Write every trace."""
    for seed, user in enumerate(USERS, start=1):
        for name, (events, stated) in scenarios(user, Random(seed)).items():
            ordered = sorted(events, key=lambda event: event.at_s)
            first = DocumentChange(document=user.document)
            folder, _, title = name.rpartition("/")
            path = HERE / folder / f"{user.name}-{title}.jsonl"
            path.parent.mkdir(exist_ok=True)
            write_trace(path, user.header(title, seed), [first, *ordered], stated)


if __name__ == "__main__":
    main()
