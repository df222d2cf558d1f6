limits("mix-video", wait_ms = 501)
