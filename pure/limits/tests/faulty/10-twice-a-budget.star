budget("video", percent = 10, burst = 10)
budget("video", percent = 20, burst = 10)
