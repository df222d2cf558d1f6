budget("a", percent = 10, burst = 10, parent = "a")
