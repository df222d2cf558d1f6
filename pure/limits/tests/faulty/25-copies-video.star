limits("mix-video", copies = 2)
