budget("video", percent = -1, burst = 10)
