"""Tell soon which agents have fallen silent."""
