budget("repeats", percent = 20, burst = 20)
limits(budget = "repeats")
