"""Keep, at an agent, its target and the flows and requests there."""
