"""Open flows outlive every order in which crashes, heartbeats and copies can meet."""

import pytest

from tests.race_world import RaceWorld

DOWN_SECONDS = (0.9, 1.1)
PAUSE_SECONDS = (2.5, 3.5)


def play_waves(seed, seconds, **settings):
    """Let four of seven targets crash at once, and be back a second later, in waves."""
    world = RaceWorld(seed, **settings)
    until = world.now + seconds
    while world.now < until:
        for address in world.random.sample(list(world.agents), 4):
            world.crash(address, world.random.uniform(*DOWN_SECONDS))
        world.run(world.random.uniform(*PAUSE_SECONDS))
    return world


def describe(world):
    """Return what happened in the first flow that broke, a line an event."""
    if not world.broken:
        return ""
    return "\n".join(str(line) for line in world.traces[world.broken[0][1]])


@pytest.mark.parametrize(
    ("seed", "callers", "loss"), [(8, 90, 0.0), (4, 120, 0.003), (6, 60, 0.003)]
)
def test_no_open_flow_is_reset_while_targets_crash_in_waves(seed, callers, loss):
    # Guards against the reset of an open flow whose opening was copied, returned or
    # answered twice, or came before its target's first heartbeat.
    world = play_waves(seed, 9.0, callers=callers, loss=loss)
    assert len(world.connections) > 500
    assert not world.broken, describe(world)
