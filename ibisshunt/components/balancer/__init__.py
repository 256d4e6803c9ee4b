"""Take packets and streams from the fabric and send them to agents."""
