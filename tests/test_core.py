import gevent
import pytest

from ibisshunt.core import Kernel
from ibisshunt.exceptions import ServiceNotFoundError


def test_services_find_each_other_by_name_through_the_parent():
    kernel = Kernel()
    kernel.register("metrics", "shared")
    child = kernel.make_child("agent.a1")
    child.register("flows", "own")
    assert child.find("metrics") == "shared"
    assert child.find("flows") == "own"
    with pytest.raises(ServiceNotFoundError):
        kernel.find("flows")


def test_the_last_service_started_is_unloaded_first_and_an_error_stops_no_other():
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


def test_a_task_that_dies_stops_the_process():
    # The caller sees a node that is gone rather than one that answers nothing:
    # the task raises, the kernel logs it and asks for a stop, the lease runs out.
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


def test_readiness_names_what_is_missing():
    kernel = Kernel()
    ready = []
    kernel.register("configuration", object(), ready=lambda: bool(ready))
    assert kernel.list_unready() == ["configuration"]
    ready.append(1)
    assert kernel.list_unready() == []
