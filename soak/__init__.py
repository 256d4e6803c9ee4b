"""Run the programs as separate processes under seeded faults and check the promises."""
