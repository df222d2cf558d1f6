limits("mix-record", copies = 2)
