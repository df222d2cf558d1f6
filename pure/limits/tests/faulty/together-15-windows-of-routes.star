route("north", of = "mix-record", zone = "oulu", window_ms = 1000)
route("east", of = "mix-record", zone = "kotka", window_ms = 1500)
