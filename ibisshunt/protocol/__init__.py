"""Define the messages between the system's processes and their encodings."""
