limits(attempts = 3)
limits(keep = 2)
