budget("a", percent = 5, burst = 200)
budget("b", percent = 5, burst = 200)
budget("c", percent = 5, burst = 200)
