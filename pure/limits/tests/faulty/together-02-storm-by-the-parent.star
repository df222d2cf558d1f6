budget("all", percent = 300, burst = 20)
budget("card", percent = 110, burst = 10, parent = "all")
limits("formula-card", attempts = 7, budget = "card")
