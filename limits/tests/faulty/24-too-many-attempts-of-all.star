limits(attempts = 20)
