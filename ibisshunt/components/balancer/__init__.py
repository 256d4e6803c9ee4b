"""Forward packets and streams from the network fabric to agents."""
