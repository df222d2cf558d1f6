budget("video", percent = 10, burst = 400)
budget("card", percent = 10, burst = 400)
