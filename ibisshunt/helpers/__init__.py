"""Hold small parts that several components share."""
