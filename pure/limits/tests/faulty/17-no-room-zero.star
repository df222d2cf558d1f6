limits("mix-video", deadline_ms = 0)
