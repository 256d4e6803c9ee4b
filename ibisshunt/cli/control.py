"""Run ``ibisshunt-control``."""

from ..programs import set_up_control
from ..settings import CONTROL
from .process import make_command

main = make_command(
    "ibisshunt-control",
    "Store the records and distribute them to every node.",
    CONTROL,
    set_up_control,
)

if __name__ == "__main__":
    main()
