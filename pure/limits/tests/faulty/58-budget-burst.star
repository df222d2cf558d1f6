budget("video", percent = 10, burst = 0)
