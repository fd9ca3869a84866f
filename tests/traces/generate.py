"""Generates the traces of both users and writes them next to this file; run as a script."""

from collections.abc import Sequence
from pathlib import Path
from random import Random

from verbenawind.document import EnvironmentDocument, parse_document
from verbenawind.traces import write_trace
from verbenawind.traces.types import (
    DocumentChange,
    Event,
    ExpectedOutcome,
    Fault,
    FaultKind,
    GenerationRequested,
    Header,
    ServiceCalled,
    StepSubmitted,
    TrainingLoop,
)

HERE = Path(__file__).parent
DAEMONS = 3
SHORT_CUT_S = 120.0
LONG_CUT_S = 3600.0


class User:
    """The environment and deployment of one user."""

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


def training_loop(steps: int, train_s: float, size: int = 4) -> TrainingLoop:
    """Return a closed-loop trainer."""
    return TrainingLoop(
        trainer="folders", steps=steps, groups=8, size=size, max_tokens=200, train_s=train_s
    )


def generation_calls(count: int, start_s: float, end_s: float, rng: Random) -> list[Event]:
    """Return generation requests of application callers at random times in an interval."""
    return [
        GenerationRequested(
            at_s=round(rng.uniform(start_s, end_s), 3),
            digest=f"{rng.getrandbits(64):016x}",
            max_tokens=rng.choice([40, 80, 160]),
            prompt_characters=rng.choice([80, 400, 2000]),
            daemon=rng.randrange(DAEMONS),
        )
        for _ in range(count)
    ]


def service_calls(user: User, count: int, end_s: float, rng: Random) -> list[Event]:
    """Return calls to the plain service; every second one is non-idempotent."""
    return [
        ServiceCalled(
            at_s=round(rng.uniform(0.0, end_s), 3),
            service=user.service,
            digest=f"{rng.getrandbits(64):016x}",
            key=f"booking-{index}" if index % 2 else "",
            daemon=rng.randrange(DAEMONS),
        )
        for index in range(count)
    ]


def zone_partition(
    user: User, duration_s: float, rng: Random
) -> tuple[Sequence[Event], ExpectedOutcome]:
    """Return a trainer and callers while the third availability zone is partitioned off."""
    events = [
        training_loop(3, 30.0),
        Fault(at_s=6.0, kind=FaultKind.CUT_ZONE, target=2, duration_s=duration_s),
        *generation_calls(20, 0.0, duration_s, rng),
        *service_calls(user, 6, duration_s, rng),
    ]
    return events, ExpectedOutcome(whole_steps={"folders": 3}, answered=20)


def scenarios(user: User, rng: Random) -> dict[str, tuple[Sequence[Event], ExpectedOutcome]]:
    """Return the events and the expected outcome of each trace, by trace name."""
    whole = {"folders": 3}
    straggler = StepSubmitted(
        at_s=0.5, trainer="folders", step=1, groups=(8,) * 8, max_tokens=400, digest="5f01d", seed=5
    )
    booking = {"service": user.service, "digest": "pallet", "key": "pallet"}
    return {
        "quiet-shift": (
            [
                training_loop(3, 5.0),
                *generation_calls(12, 0.0, 25.0, rng),
                *service_calls(user, 6, 25.0, rng),
            ],
            ExpectedOutcome(whole_steps=whole, answered=18),
        ),
        "burst": (
            [training_loop(3, 5.0), *generation_calls(150, 5.0, 7.0, rng)],
            ExpectedOutcome(whole_steps=whole, answered=150),
        ),
        "version-every-two-minutes": (
            [training_loop(3, 120.0, size=8)],
            ExpectedOutcome(whole_steps=whole),
        ),
        "straggler-step": (
            [straggler, Fault(at_s=1.0, kind=FaultKind.SLOW_ENGINE, target=1, duration_s=60.0)],
            ExpectedOutcome(whole_steps={"folders": 1}),
        ),
        "failing-swap": (
            [
                *(Fault(kind=FaultKind.FAIL_SWAPS, target=index) for index in (0, 0, 1)),
                training_loop(3, 3.0),
                *generation_calls(10, 0.0, 15.0, rng),
            ],
            ExpectedOutcome(whole_steps=whole, answered=10),
        ),
        "zone-cut-off": zone_partition(user, SHORT_CUT_S, rng),
        "long/zone-cut-off-for-an-hour": zone_partition(user, LONG_CUT_S, rng),
        "crashing-request": (
            [
                training_loop(2, 3.0),
                *generation_calls(10, 0.0, 12.0, rng),
                *(
                    GenerationRequested(
                        at_s=at_s, digest="ki11", max_tokens=80, daemon=daemon, crashes=True
                    )
                    for daemon, at_s in enumerate((2.0, 6.0, 9.0))
                ),
            ],
            ExpectedOutcome(whole_steps={"folders": 2}, answered=10),
        ),
        "doubled-booking": (
            [
                Fault(at_s=0.9, kind=FaultKind.LOSE_SERVICE_ANSWER),
                *(ServiceCalled(at_s=1.0 + 0.002 * n, daemon=n, **booking) for n in range(3)),
                *(ServiceCalled(at_s=4.0 + n, daemon=n, **booking) for n in range(2)),
                *service_calls(user, 6, 8.0, rng),
            ],
            ExpectedOutcome(answered=4, most_runs={"pallet": 1}),
        ),
    }


def main() -> None:
    """Write every trace."""
    for seed, user in enumerate(USERS, start=1):
        for name, (events, stated) in scenarios(user, Random(seed)).items():
            ordered = sorted(events, key=lambda event: event.at_s)
            initial_document = DocumentChange(document=user.document)
            folder, _, title = name.rpartition("/")
            path = HERE / folder / f"{user.name}-{title}.jsonl"
            path.parent.mkdir(exist_ok=True)
            write_trace(path, user.header(title, seed), [initial_document, *ordered], stated)


if __name__ == "__main__":
    main()
