from gevent import monkey

monkey.patch_all()

import os

from hypothesis import HealthCheck, settings

from ibisshunt.helpers.runtime import prepare_grpc

prepare_grpc()

# CI must reach the same verdict every time: fixed examples, no time limits.
settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    max_examples=60,
    database=None,
    suppress_health_check=list(HealthCheck),
)
# A larger budget by command: IBISSHUNT_PROFILE=long script/test --hypothesis-seed=N
settings.register_profile(
    "long",
    deadline=None,
    max_examples=2000,
    database=None,
    suppress_health_check=list(HealthCheck),
)
settings.load_profile(os.environ.get("IBISSHUNT_PROFILE", "ci"))
