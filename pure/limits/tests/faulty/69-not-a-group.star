limits("mix-record", group = "world")
