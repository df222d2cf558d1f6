budget("video", percent = 10)
