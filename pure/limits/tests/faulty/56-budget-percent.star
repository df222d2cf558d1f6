budget("video", percent = 501, burst = 10)
