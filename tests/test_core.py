import gevent
import pytest

from ibisshunt.core import Kernel
from ibisshunt.exceptions import ServiceNotFoundError


def test_services_are_found_by_name_through_the_parent():
    kernel = Kernel()
    kernel.register("metrics", "shared")
    child = kernel.make_child("agent.a1")
    child.register("flows", "own")
    assert child.find("metrics") == "shared"
    assert child.find("flows") == "own"
    with pytest.raises(ServiceNotFoundError):
        kernel.find("flows")


def test_services_are_unloaded_in_reverse_order_despite_an_error():
    kernel = Kernel()
    order = []

    def fail():
        order.append("broken")
        raise RuntimeError("no")

    kernel.register("first", object(), unload=lambda: order.append("first"))
    kernel.register("broken", object(), unload=fail)
    kernel.register("last", object(), unload=lambda: order.append("last"))
    kernel.stop()
    assert order == ["last", "broken", "first"]


def test_a_task_that_fails_stops_the_process():
    # Guards against a node that keeps its lease but no longer answers: the kernel has
    # to stop the process, so that the lease expires.
    kernel = Kernel()
    child = kernel.make_child("balancer.b1")

    def fail():
        raise ValueError("broken")

    child.spawn("packets", fail)
    assert kernel.wait_for_stop(timeout=5)


def test_a_killed_task_does_not_stop_the_process():
    kernel = Kernel()
    task = kernel.spawn("sleeper", gevent.sleep, 60)
    gevent.sleep(0)
    task.kill()
    assert not kernel.is_stopping()


def test_unready_services_are_listed():
    kernel = Kernel()
    ready = []
    kernel.register("configuration", object(), ready=lambda: bool(ready))
    assert kernel.list_unready() == ["configuration"]
    ready.append(1)
    assert kernel.list_unready() == []
