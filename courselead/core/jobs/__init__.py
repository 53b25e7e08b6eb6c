"""Long jobs: learned sizes, placement, leases and quarantine."""
