limits("mix-video", budget = "repeats")
