budget("none", percent = 10, burst = 10)
