"""Keep the records and tell every node of them."""
