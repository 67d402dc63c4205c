# Settings of many fronts on one machine: each knows its number by the name instance. Start the boxes first:
#   rainhaven box --id 1 --listen 127.0.0.1:9001 & rainhaven box --id 2 --listen 127.0.0.1:9002 &
# then: rainhaven fleet up --config examples/fleet.star --fronts 4, and: rainhaven fleet status

front(name = "front-%d" % instance, listen = "127.0.0.1:%d" % (8600 + instance), admin = "127.0.0.1:%d" % (9200 + instance),
      me = instance % 4, fronts = 4)

kind(name = "two-core", places = 20)
ladder(rates = [250, 600, 1200, 2500])  # kB a second
group(name = "fault-clips", utility = 2, scale = 1.4, start_target = 1, setup_timeout = 3, floor = 1, seats = 5)
group(name = "grower-guides", start_target = 1, setup_timeout = 5)
fleet(links = 20000, uplink = 20000, cells = 2, racks = 1)
setups(most = 3, spare = 5, share = 0.1, window = 10)
cold(warm_up = 10, share = 0.4, fall_factor = 4, fall_time = 1.5)
reports(come = "answers", lag = 1, notes_every = 3)

box(id = 1, address = "127.0.0.1:9001", cell = 0)
box(id = 2, address = "127.0.0.1:9002", cell = 1)

title(name = "vents", span = 2)
title(name = "heating", span = 2)
