from random import Random

import pytest
from hypothesis import given, seed, strategies as st

from ibisshunt.coordination.requests.holders import count_domains
from tests.coordination.requests.ledger_cluster import Cluster

KEYS = [f"k{i}".encode() for i in range(8)]
WEIGHTS = (
    ["send"] * 8
    + ["deliver"] * 30
    + ["deliver_some"] * 6
    + ["repeat", "drop"]
    + ["tick"] * 3
    + ["start"] * 6
    + ["finish", "refuse", "lose"]
    + ["catch_up"] * 6
    + ["fetch"] * 6
    + ["lag", "give_up", "give_up", "rest"]
    + ["leave", "rejoin", "rejoin", "restart", "kill", "remove"]
)
OPERATIONS = st.lists(
    st.tuples(st.sampled_from(WEIGHTS), st.integers(0, 40)), min_size=40, max_size=300
)


def apply(cluster, name, number):
    alive = cluster.alive()
    node = alive[number % len(alive)].member.incarnation
    actions = {
        "send": lambda: cluster.send(KEYS[number % 8], number // 8),
        "deliver": lambda: cluster.deliver(number),
        "deliver_some": lambda: [cluster.deliver(number + i) for i in range(8)],
        "rest": lambda: cluster.settle_all(rounds=2),
        "repeat": lambda: cluster.deliver(number, keep=True),
        "drop": lambda: cluster.drop(number),
        "tick": lambda: cluster.tick(0.02 + number / 100),
        "start": lambda: cluster.start(number),
        "refuse": lambda: cluster.refuse(number),
        "finish": lambda: cluster.finish(number),
        "lose": lambda: cluster.finish(number, known=False),
        "catch_up": lambda: cluster.catch_up(node),
        "lag": lambda: cluster.catch_up(node, skip=1),
        "fetch": lambda: cluster.fetch(node),
        "give_up": lambda: cluster.give_up_dead(node),
        "leave": lambda: cluster.leave(number),
        "rejoin": lambda: cluster.rejoin(number),
        "restart": lambda: cluster.restart(number),
        "kill": lambda: cluster.kill(number),
        "remove": cluster.remove_dead,
    }
    actions[name]()


# Examples are drawn from this seed instead of the source text, so rewording keeps them.
AT_MOST_ONCE_SEED = int(
    "aa110f7f405b2a065ad788c5f744c37bad15f53af100da9b"
    "6ee39ab5e47eb575fc2cda93bb4bd5119ee5df3ac25f5eb3",
    16,
)


@seed(AT_MOST_ONCE_SEED)
@given(OPERATIONS, st.integers(2, 3))
def test_a_key_starts_at_most_once_and_no_one_is_told_a_lie(operations, domains):
    # Callers send and resend a few keys through any agent, while messages are lost,
    # doubled and overtaken, agents die, restart, leave and come back, and views reach
    # them unevenly. The cluster itself checks each start and each word to a caller.
    cluster = Cluster(domains=domains)
    for name, number in operations:
        apply(cluster, name, number)
    cluster.settle_all()
    for key in KEYS:
        cluster.ask(key)
        cluster.start(0)
        cluster.finish(0)


# Examples are drawn from this seed instead of the source text, so rewording keeps them.
REOPENING_SEED = int(
    "95c073a591a2917b968da33655f772953cb842122dd81582"
    "8f4b759bd20dc0982236174c843e5137f566c900858f0c38",
    16,
)


@seed(REOPENING_SEED)
@given(OPERATIONS)
def test_each_agent_opens_again_once_the_cluster_is_at_rest(operations):
    # Safeguards that close a holder must not close it for good: after the changes
    # stop and the dead are removed, a new key is granted or honestly unknown.
    cluster = Cluster()
    for name, number in operations:
        apply(cluster, name, number)
    cluster.remove_dead()
    cluster.settle_all()
    members = {member.incarnation for member in cluster.members}
    spans = count_domains(cluster.members) > 1
    assert {cluster.nodes[one].holder.open for one in members} == {spans}


@pytest.mark.parametrize("seed", [329, 644, 863, 941, 1700, 1803])
def test_scenarios_that_once_ran_a_key_twice(seed):
    # Found by random runs. The members shrank to one failure domain, where no key has
    # a pair of holders, so nobody took the records over before the past was dropped;
    # or a late message of an agent with less knowledge made a lost past look whole.
    draw = Random(seed)
    cluster = Cluster(domains=draw.choice([2, 3]), size=draw.choice([3, 4, 5]))
    for _ in range(draw.choice([100, 300, 800])):
        apply(cluster, draw.choice(WEIGHTS), draw.randrange(41))
    cluster.remove_dead()
    cluster.settle_all()
    for key in KEYS:
        cluster.ask(key)
        cluster.start(0)
        cluster.finish(0)
