budget("repeats", percent = 20, burst = 20)
limits("mix-video", budget = "repeats")
limits("mix-record", budget = "repeats")
