"""Run ``ibisshunt-balancer``."""

from ..programs import set_up_balancer
from ..settings import BALANCER
from .process import make_command

main = make_command(
    "ibisshunt-balancer",
    "Take packets and streams from the fabric and send them to agents.",
    BALANCER,
    set_up_balancer,
)

if __name__ == "__main__":
    main()
