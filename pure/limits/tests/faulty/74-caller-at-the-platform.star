route("partners", of = "mix-video", caller = "spiffe://a.example/*", front = "msgpack", attempts = 3)
