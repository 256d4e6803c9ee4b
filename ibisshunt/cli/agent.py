"""Run ``ibisshunt-agent``."""

from ..programs import set_up_agent
from ..settings import AGENT
from .process import make_command

main = make_command(
    "ibisshunt-agent",
    "Manage the flows and requests of the target on this host.",
    AGENT,
    set_up_agent,
)

if __name__ == "__main__":
    main()
