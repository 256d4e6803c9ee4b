"""Hold the command line of each program."""
