limits(keep = 9)
