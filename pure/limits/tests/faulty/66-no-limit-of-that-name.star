limits("mix-video", attemps = 3)
