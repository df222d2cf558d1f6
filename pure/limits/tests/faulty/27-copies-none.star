limits("mix-video", copies = 0)
