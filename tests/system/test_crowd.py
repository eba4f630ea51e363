"""Test that clients which nobody controls do not end an entry host.

The checks are those that do not depend on speed: the process lives, stays
within its memory and descriptors, and answers ordinary requests afterwards.
"""

import asyncio
import pathlib
import random

import pytest

from standins import crowd
from standins.soak import world as soak_world

# An idle host takes 52 MB. Two thirds of this are 60 MB.
MEMORY_MB = 90
MAX_MEMORY_BYTES = MEMORY_MB * 1_000_000 * 2 // 3
# Hostile connections to one listener. The settings have room for them, so
# that only their memory matters: the platform reserves 200 descriptors, and
# an idle host has 16.
CONNECTIONS = 200
DESCRIPTORS = 600
# Hostile connections to each of five listeners; more in all than the
# descriptors in the settings.
CONNECTIONS_EACH = 50
FEW_DESCRIPTORS = 230
ATTACK_S = 4.0
SAMPLE_S = 0.1


async def attack(
    form: crowd.Form,
    *,
    folder: pathlib.Path,
    listeners: list[str],
    connections: int,
    max_descriptors: int,
) -> None:
    """Let a crowd attack a host, and check the host."""
    world = soak_world.World(
        folder=folder,
        rng=random.Random(1),
        hosts=1,
        memory_mb=MEMORY_MB,
        max_descriptors=max_descriptors,
    )
    await world.start()
    (host,) = world.hosts
    assert host.process is not None
    pid = host.process.pid
    targets = crowd.find_targets(host)
    hostile = crowd.Crowd(
        form=form,
        targets=[targets[name] for name in listeners],
        connections=connections,
    )
    running = asyncio.ensure_future(hostile.run())
    descriptors = 0
    answers = {}
    try:
        for _ in range(round(ATTACK_S / SAMPLE_S)):
            await asyncio.sleep(SAMPLE_S)
            if host.process.returncode is not None:
                break
            descriptors = max(descriptors, crowd.open_descriptors(pid))
        assert host.process.returncode is None
        print(f"{crowd.peak_memory_bytes(pid) / 1e6:.1f} MB, {descriptors}")
        assert crowd.peak_memory_bytes(pid) < MAX_MEMORY_BYTES
        assert descriptors < max_descriptors
        # The hostile connections send nothing more, and stay open.
        hostile.paused = True
        for name in ("directory", "ready", "callers"):
            answers[name] = await crowd.ask(targets[name])
        assert host.process.returncode is None
        peak_bytes = crowd.peak_memory_bytes(pid)
    finally:
        running.cancel()
        await world.stop()
    assert all(b" 200 " in answer for answer in answers.values()), answers
    assert peak_bytes < MAX_MEMORY_BYTES


@pytest.mark.parametrize(
    "listener", ["ready", "directory", "metrics", "callers", "link"]
)
def test_unread_answers(listener: str, tmp_path: pathlib.Path) -> None:
    """Guard against a host that dies of clients that read no answers."""
    asyncio.run(
        attack(
            crowd.UnreadAnswers(),
            folder=tmp_path,
            listeners=[listener],
            connections=CONNECTIONS,
            max_descriptors=DESCRIPTORS,
        )
    )


@pytest.mark.parametrize(
    "form",
    [
        pytest.param(crowd.SingleBytes(), id="single-bytes"),
        pytest.param(crowd.EndlessHeads(), id="endless-heads"),
        pytest.param(crowd.LeftOpen(), id="left-open"),
    ],
)
def test_slow_connections(form: crowd.Form, tmp_path: pathlib.Path) -> None:
    """Guard against connections that take memory or all descriptors."""
    asyncio.run(
        attack(
            form,
            folder=tmp_path,
            listeners=["ready", "directory", "metrics", "callers", "link"],
            connections=5 * CONNECTIONS_EACH,
            max_descriptors=FEW_DESCRIPTORS,
        )
    )


def test_unfinished_frames(tmp_path: pathlib.Path) -> None:
    """Guard against frames of strangers that wait for their end."""
    asyncio.run(
        attack(
            crowd.UnfinishedFrames(),
            folder=tmp_path,
            listeners=["link"],
            connections=CONNECTIONS,
            max_descriptors=DESCRIPTORS,
        )
    )
