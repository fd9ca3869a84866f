"""Tests of the metrics endpoint."""

import asyncio

from loopback import TRAINER_TOKEN, Loopback, run_loopback
from verbenawind.standins.engine import EngineProfile


class TestExposition:
    def test_step_and_requests_are_counted(self) -> None:
        """The metrics include idle time, staleness, queue waits, errors and request outcomes."""

        async def scenario(loopback: Loopback) -> str:
            await loopback.accept()
            step = {
                "step": 1,
                "groups": [{"prompt": "a", "size": 2}],
                "sampling": {"max_tokens": 4},
            }
            poll = {"cursor": 0, "current_version": 0, "wait_s": 0.5}
            async with loopback.client(TRAINER_TOKEN) as client:
                await client.post(f"{loopback.v1}/rollouts/steps", json=step)
                delivered = 0
                while delivered < 2:
                    response = (await client.post(f"{loopback.v1}/rollouts/poll", json=poll)).json()
                    poll["cursor"] = response["cursor"]
                    delivered += sum(len(group["samples"]) for group in response["groups"])
            async with loopback.client() as client:
                body = {"model": "tuner", "prompt": "a", "max_tokens": 2}
                await client.post(f"{loopback.v1}/completions", json=body)
                await client.post(f"{loopback.v1}/completions", json=body | {"n": 3})
                await asyncio.sleep(0)
                return (await client.get(f"{loopback.url}/metrics")).text

        text = run_loopback(scenario, profile=EngineProfile(tick_s=0.002))
        labels = 'environment="siam-fold/production"'
        assert f"verbenawind_trainer_idle_seconds_total{{{labels}" in text
        assert f'verbenawind_samples_sent_total{{{labels},staleness_versions="0"' in text
        assert f"verbenawind_group_staleness_seconds_count{{{labels}" in text
        assert f'verbenawind_queue_wait_seconds_count{{{labels},kind="application"}} 1' in text
        assert 'verbenawind_error_answers_total{code="invalid_request"} 1' in text
        operation = "/environments/{environment}/{stage}/v1/completions"
        assert f'requests_total{{operation="{operation}",outcome="ok"}} 1' in text
        assert f'requests_total{{operation="{operation}",outcome="not_run"}} 1' in text
        assert "verbenawind_cross_region_bytes_total" in text
