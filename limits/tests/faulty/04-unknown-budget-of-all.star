limits(budget = "repeats")
