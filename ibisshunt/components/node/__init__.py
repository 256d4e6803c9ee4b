"""Keep the configuration of one node up to date and announce its target."""

from .announcer import setup as setup_announcement
from .watcher import setup as setup_configuration

__all__ = ["setup_announcement", "setup_configuration"]
