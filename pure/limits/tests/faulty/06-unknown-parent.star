budget("video", percent = 10, burst = 10, parent = "all")
