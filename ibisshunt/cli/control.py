"""Run ``ibisshunt-control``."""

from ..programs import set_up_control
from ..settings import CONTROL
from .process import make_command

main = make_command(
    "ibisshunt-control",
    "Keep the records and tell every node of them.",
    CONTROL,
    set_up_control,
)

if __name__ == "__main__":
    main()
