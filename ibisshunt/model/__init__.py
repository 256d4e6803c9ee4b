"""Hold the frozen data classes that every part shares."""
