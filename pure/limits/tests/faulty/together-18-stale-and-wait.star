limits("mix-video", stale_ms = 900, places = 20, queue = 10, queue_age_ms = 200)
