budget("video", percent = 200, burst = 10)
limits("mix-video", attempts = 8, budget = "video")
